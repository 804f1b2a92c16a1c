/**
 * @file verdict_log.h
 * @brief The last verdicts on notes, oldest first, found by id.
 */
#ifndef PPS_FOLD_VERDICT_LOG_H
#define PPS_FOLD_VERDICT_LOG_H

#include "hash_table.h"
#include "papayaswitch/config_fold.h"

#include <urcu/list.h>

/** Verdicts kept before the oldest is dropped. */
#define PPS_VERDICTS_MAX 1024

/** One remembered verdict. */
typedef struct {
    struct cds_list_head node;
    UT_hash_handle hh;
    pps_note_verdict_t verdict;
} pps_verdict_entry_t;

/** A bounded list of verdicts. */
typedef struct {
    struct cds_list_head entries;
    pps_verdict_entry_t *by_id;
    size_t count;
} pps_verdict_log_t;

/** Starts an empty list. */
void
pps_verdict_log_init(pps_verdict_log_t *log);

/** Frees all verdicts. */
void
pps_verdict_log_clear(pps_verdict_log_t *log);

/** Adds a copy at the end; the oldest goes when the list is full. */
int
pps_verdict_log_add(pps_verdict_log_t *log, const pps_note_verdict_t *verdict);

/** The verdict on a note, or NULL. */
const pps_note_verdict_t *
pps_verdict_log_find(const pps_verdict_log_t *log, const char *id);

#endif
