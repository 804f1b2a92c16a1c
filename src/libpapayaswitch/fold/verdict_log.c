/** @file verdict_log.c @brief Bounded list of verdicts on notes. */
#include "fold/verdict_log.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>

void
pps_verdict_log_init(pps_verdict_log_t *log)
{
    CDS_INIT_LIST_HEAD(&log->entries);
    log->by_id = NULL;
    log->count = 0;
}

static void
remove_entry(pps_verdict_log_t *log, pps_verdict_entry_t *entry)
{
    HASH_DEL(log->by_id, entry);
    cds_list_del(&entry->node);
    log->count--;
    free(entry);
}

void
pps_verdict_log_clear(pps_verdict_log_t *log)
{
    pps_verdict_entry_t *entry;
    pps_verdict_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &log->entries, node) {
        remove_entry(log, entry);
    }
}

static void
/* NOLINTNEXTLINE(readability-function-size): counts the expanded macro. */
index_entry(pps_verdict_log_t *log, pps_verdict_entry_t *entry)
{
    HASH_ADD_STR(log->by_id, verdict.id, entry);
}

int
pps_verdict_log_add(pps_verdict_log_t *log, const pps_note_verdict_t *verdict)
{
    pps_verdict_entry_t *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        return pps_error_set(PPS_ENOMEM, "verdicts: out of memory");
    }
    entry->verdict = *verdict;
    index_entry(log, entry);
    cds_list_add_tail(&entry->node, &log->entries);
    log->count++;
    if (log->count > PPS_VERDICTS_MAX) {
        remove_entry(log, cds_list_first_entry(&log->entries,
                                               pps_verdict_entry_t, node));
    }
    return PPS_OK;
}

const pps_note_verdict_t *
pps_verdict_log_find(const pps_verdict_log_t *log, const char *id)
{
    pps_verdict_entry_t *entry;

    HASH_FIND_STR(log->by_id, id, entry);
    return entry ? &entry->verdict : NULL;
}
