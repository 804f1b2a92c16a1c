/**
 * @file bill_reader.h
 * @brief Sums the stream `bills` by workspace and counts each bill once.
 */
#ifndef PAPAYASWITCH_BILL_READER_H
#define PAPAYASWITCH_BILL_READER_H

#include "papayaswitch/bill.h"
#include "papayaswitch/log_backend.h"

/** Sums over the bills of one workspace. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    uint64_t bills;
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    uint64_t cost_micros;
} pps_bill_sum_t;

/** Range of sequence numbers that no batch contained, ends included. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t first;
    uint64_t last;
} pps_bill_gap_t;

/** Counts and position of a reader. */
typedef struct {
    uint64_t next_offset; /**< offset of the next record */
    uint64_t expired;     /**< offset below which records have expired */
    uint64_t bills;       /**< bills in the sums */
    /** Dropped bills whose host, incarnation and sequence were read before. */
    uint64_t repeated_sequence;
    /** Dropped bills with a new sequence whose request was billed before. */
    uint64_t repeated_request;
    uint64_t corrupt; /**< records that cannot be decoded */
} pps_bill_reader_stats_t;

/** Reader of the stream; used by one thread at a time. */
typedef struct pps_bill_reader pps_bill_reader_t;

int
pps_bill_reader_new(pps_bill_reader_t **out);
void
pps_bill_reader_free(pps_bill_reader_t *reader);

/** Adds the bills of one log entry. @return 0 or PPS_ENOMEM */
int
pps_bill_reader_feed(pps_bill_reader_t *reader, const pps_log_entry_t *entry);

/** Reads from the next offset to the head; skips expired records.
 * @return 0, PPS_ENOMEM or an error of the log */
int
pps_bill_reader_read(pps_bill_reader_t *reader, pps_log_backend_t *backend);

void
pps_bill_reader_stats(const pps_bill_reader_t *reader,
                      pps_bill_reader_stats_t *out);

/** Visits the sums in order of workspace names; a non-zero result of `visit`
 * stops the iteration and is returned. */
int
pps_bill_reader_sum_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_sum_t *sum,
                                         void *user),
                            void *user);

/** Visits the gaps of each incarnation of a host, in the order in which they
 * were first read; `visit` stops it as in pps_bill_reader_sum_foreach(). */
int
pps_bill_reader_gap_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_gap_t *gap,
                                         void *user),
                            void *user);

#endif
