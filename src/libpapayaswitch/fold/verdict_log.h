/**
 * @file verdict_log.h
 * @brief Stores the most recent verdicts on notes for the config fold.
 */
#ifndef PPS_FOLD_VERDICT_LOG_H
#define PPS_FOLD_VERDICT_LOG_H

#include "hash_table.h"
#include "papayaswitch/config_fold.h"

#include <urcu/list.h>

/** Maximum count of stored verdicts. */
#define PPS_VERDICTS_MAX 1024

/** One stored verdict. */
typedef struct {
    struct cds_list_head node;
    UT_hash_handle hh;
    pps_note_verdict_t verdict;
} pps_verdict_entry_t;

/** A list of verdicts, oldest first, with an index by note id. */
typedef struct {
    struct cds_list_head entries;
    pps_verdict_entry_t *by_id;
    size_t count;
} pps_verdict_log_t;

/** Initialises an empty list. */
void
pps_verdict_log_init(pps_verdict_log_t *log);

/** Frees all verdicts. */
void
pps_verdict_log_clear(pps_verdict_log_t *log);

/** Appends a copy of a verdict; a full list drops its oldest verdict.
 * @return 0 or PPS_ENOMEM */
int
pps_verdict_log_add(pps_verdict_log_t *log, const pps_note_verdict_t *verdict);

/** Returns the verdict on the note `id`, owned by the list, or NULL. */
const pps_note_verdict_t *
pps_verdict_log_find(const pps_verdict_log_t *log, const char *id);

#endif
