/**
 * @file bill_reader.h
 * @brief Reads the stream `bills`: sums a workspace, each bill once.
 */
#ifndef PAPAYASWITCH_BILL_READER_H
#define PAPAYASWITCH_BILL_READER_H

#include "papayaswitch/bill.h"
#include "papayaswitch/log_backend.h"

/** Sums of one workspace. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    uint64_t bills;
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    uint64_t cost_micros;
} pps_bill_sum_t;

/** Sequence numbers that no batch has shown, both ends included. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t first;
    uint64_t last;
} pps_bill_gap_t;

/** What was read. */
typedef struct {
    uint64_t next;              /**< offset of the next record */
    uint64_t expired;           /**< records below this have expired */
    uint64_t bills;             /**< counted */
    uint64_t repeated_sequence; /**< dropped: host, incarnation, sequence */
    uint64_t repeated_request;  /**< dropped: request id billed before */
    uint64_t corrupt;           /**< records that did not decode */
} pps_bill_reader_stats_t;

/** Reader. One thread. */
typedef struct pps_bill_reader pps_bill_reader_t;

int
pps_bill_reader_new(pps_bill_reader_t **out);
void
pps_bill_reader_free(pps_bill_reader_t *reader);

/** Reads one entry. @return 0 or PPS_ENOMEM */
int
pps_bill_reader_feed(pps_bill_reader_t *reader, const pps_log_entry_t *entry);

/** Reads all that the log keeps of the stream. @return 0 or as the log */
int
pps_bill_reader_read(pps_bill_reader_t *reader, pps_log_backend_t *backend);

void
pps_bill_reader_stats(const pps_bill_reader_t *reader,
                      pps_bill_reader_stats_t *out);

/** Visits the sums, by workspace; a non-zero return stops and is returned. */
int
pps_bill_reader_sum_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_sum_t *sum,
                                         void *user),
                            void *user);

/** Visits the gaps, in the order in which their hosts were met. */
int
pps_bill_reader_gap_foreach(const pps_bill_reader_t *reader,
                            int (*visit)(const pps_bill_gap_t *gap,
                                         void *user),
                            void *user);

#endif
