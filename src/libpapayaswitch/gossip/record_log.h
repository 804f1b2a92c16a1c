/**
 * @file record_log.h
 * @brief Keeps the last records, so that hosts that missed some get them from
 * a relay instead of the store.
 */
#ifndef PPS_GOSSIP_RECORD_LOG_H
#define PPS_GOSSIP_RECORD_LOG_H

#include "buf.h"
#include "gossip.h"

/** Number of records that are kept, of all topics together. */
#define PPS_RECORD_LOG_SIZE 256

/** A record as it was sent. */
typedef struct {
    unsigned int topic;
    int64_t epoch;
    int64_t offset;
    int64_t relevant_end_before;
    pps_buf_t encoded;
} pps_record_log_entry_t;

/** Zero-initialized when empty. */
typedef struct {
    pps_record_log_entry_t entries[PPS_RECORD_LOG_SIZE];
    size_t next;
} pps_record_log_t;

/** Called with an encoded record. */
typedef void (*pps_record_log_fn)(void *user, const pps_buf_t *encoded);

/** Keeps a record, unless it is kept already or memory is exhausted. */
void
pps_record_log_add(pps_record_log_t *log, const pps_gossip_record_t *record,
                   const char *data, size_t size);

/** Visits the kept records of a topic and epoch from an end on, by offset. If
 * the first of them does not follow that end, a record is not kept any more:
 * then none is visited. @return the number of visited records */
size_t
pps_record_log_visit(const pps_record_log_t *log, unsigned int topic,
                     int64_t epoch, int64_t end, pps_record_log_fn visit,
                     void *user);

/** Frees the kept records. */
void
pps_record_log_clear(pps_record_log_t *log);

#endif
