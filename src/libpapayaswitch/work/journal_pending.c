/** @file journal_pending.c @brief Repeats appends of outcomes until logged. */
#include "journal_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_INTERVAL_US (1 * PPS_US_PER_S)

/** Context of an append: the outcome may be removed before the append ends. */
typedef struct {
    pps_journal_t *journal;
    uint64_t id;
} append_context_t;

static void
on_appended(int result, uint64_t offset, void *user)
{
    append_context_t *context = user;
    pps_journal_t *journal = context->journal;
    pps_pending_t *pending;

    pthread_mutex_lock(&journal->mutex);
    cds_list_for_each_entry (pending, &journal->pending, node) {
        if (pending->id == context->id) {
            pending->in_flight = 0;
            break;
        }
    }
    pthread_mutex_unlock(&journal->mutex);
    free(context);
}

static void
send_pending(pps_journal_t *journal, pps_pending_t *pending, int64_t now_us)
{
    append_context_t *context = malloc(sizeof(*context));
    void *copy = malloc(pending->size);

    pending->attempted_us = now_us;
    if (context == NULL || copy == NULL) {
        goto failed;
    }
    *context = (append_context_t){journal, pending->id};
    memcpy(copy, pending->data, pending->size);
    if (pps_appender_submit(journal->appender, copy, pending->size, INT64_MAX,
                            on_appended, context) == 0) {
        pending->in_flight = 1;
        return;
    }
failed:
    free(context);
    free(copy);
}

int
pps_pending_add(pps_journal_t *journal, const pps_outcome_t *outcome)
{
    pps_pending_t *pending;

    if (journal->pending_count >= journal->options.pending_max) {
        return pps_error_set(PPS_ELIMIT,
                             "too many outcomes are waiting to be written");
    }
    pending = calloc(1, sizeof(*pending));
    if (pending == NULL ||
        pps_outcome_encode(&pending->data, &pending->size, outcome) < 0) {
        free(pending);
        return pps_error_set(PPS_ENOMEM, "journal: out of memory");
    }
    memcpy(pending->workspace, outcome->workspace, sizeof(pending->workspace));
    memcpy(pending->key, outcome->key, sizeof(pending->key));
    pending->claim_offset = outcome->claim_offset;
    pending->state = outcome->state;
    pending->id = ++journal->last_pending;
    cds_list_add_tail(&pending->node, &journal->pending);
    journal->pending_count++;
    send_pending(journal, pending, pps_clock_now_us());
    return PPS_OK;
}

int
pps_journal_record_outcome(pps_journal_t *journal,
                           const pps_outcome_t *outcome)
{
    int error;

    pthread_mutex_lock(&journal->mutex);
    error = pps_pending_add(journal, outcome);
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

static int
has_no_effect(const pps_journal_t *journal, const pps_pending_t *pending)
{
    const pps_fold_claim_t *claim =
        pps_fold_claim_find(journal->fold, pending->workspace, pending->key);

    if (claim == NULL || claim->offset != pending->claim_offset) {
        return 1;
    }
    return claim->state == PPS_CLAIM_COMPLETED ||
           (claim->state == PPS_CLAIM_UNKNOWN &&
            pending->state != PPS_OUTCOME_COMPLETED);
}

static void
remove_pending(pps_journal_t *journal, pps_pending_t *pending)
{
    cds_list_del(&pending->node);
    journal->pending_count--;
    free(pending->data);
    free(pending);
}

void
pps_pending_retry(pps_journal_t *journal, int64_t now_us)
{
    pps_pending_t *pending;
    pps_pending_t *following;

    cds_list_for_each_entry_safe (pending, following, &journal->pending,
                                  node) {
        if (has_no_effect(journal, pending)) {
            remove_pending(journal, pending);
        }
        else if (!pending->in_flight &&
                 now_us - pending->attempted_us >= RETRY_INTERVAL_US) {
            send_pending(journal, pending, now_us);
        }
    }
}

size_t
pps_journal_pending_count(pps_journal_t *journal)
{
    size_t count;

    pthread_mutex_lock(&journal->mutex);
    pps_pending_retry(journal, pps_clock_now_us());
    count = journal->pending_count;
    pthread_mutex_unlock(&journal->mutex);
    return count;
}

void
pps_pending_clear(pps_journal_t *journal)
{
    pps_pending_t *pending;
    pps_pending_t *following;

    cds_list_for_each_entry_safe (pending, following, &journal->pending,
                                  node) {
        remove_pending(journal, pending);
    }
}
