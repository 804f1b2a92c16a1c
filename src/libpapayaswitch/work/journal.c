/** @file journal.c @brief Folds the stream and wakes waiting callers. */
#include "papayaswitch/journal.h"

#include "clock.h"
#include "commit/wait.h"
#include "counters.h"
#include "journal_state.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Spreads the checkpoints of hosts over time by name: a host that folds
 * another's checkpoint need not write its own. */
static void
stagger_checkpoints(pps_journal_t *journal)
{
    uint64_t spread = XXH64(journal->host, strlen(journal->host), 0);
    int64_t period_us = (int64_t)journal->options.checkpoint_s * PPS_US_PER_S;

    journal->stagger_us = (int64_t)(spread % (uint64_t)(period_us / 2 + 1));
    journal->stagger_records =
        spread % (journal->options.checkpoint_records / 2 + 1);
}

int
pps_journal_new(pps_journal_t **out, pps_log_backend_t *backend,
                const pps_journal_options_t *options)
{
    pps_journal_t *journal;
    int error;

    if (options->version != PPS_JOURNAL_OPTIONS_VERSION ||
        strlen(options->host) > PPS_NAME_MAX) {
        return pps_error_set(
            PPS_EINVALID,
            "journal options: unsupported version or host name too long");
    }
    journal = calloc(1, sizeof(*journal));
    if (journal == NULL) {
        return pps_error_set(PPS_ENOMEM, "journal: out of memory");
    }
    journal->options = *options;
    memcpy(journal->host, options->host, strlen(options->host) + 1);
    journal->options.host = journal->host;
    CDS_INIT_LIST_HEAD(&journal->waiters);
    CDS_INIT_LIST_HEAD(&journal->pending);
    CDS_INIT_LIST_HEAD(&journal->use_list);
    stagger_checkpoints(journal);
    journal->checkpoint_seen_us = pps_clock_now_us();
    pthread_mutex_init(&journal->mutex, NULL);
    pps_wait_cond_init(&journal->head_read);
    error = pps_work_fold_new(&journal->fold, &options->fold);
    if (error == 0) {
        error = pps_appender_new(&journal->appender, backend, PPS_STREAM_WORK,
                                 &options->appender);
    }
    if (error < 0) {
        pps_journal_free(journal);
        return error;
    }
    *out = journal;
    return PPS_OK;
}

void
pps_journal_free(pps_journal_t *journal)
{
    if (journal == NULL) {
        return;
    }
    pps_appender_free(journal->appender);
    pps_pending_clear(journal);
    pps_uses_clear(journal);
    pps_work_fold_free(journal->fold);
    free(journal->present);
    pthread_cond_destroy(&journal->head_read);
    pthread_mutex_destroy(&journal->mutex);
    free(journal);
}

static void
set_result(pps_waiter_t *waiter, int result)
{
    waiter->decided = 1;
    waiter->result = result;
    pthread_cond_signal(&waiter->cond);
}

static int
is_own(const pps_journal_t *journal, const pps_claim_t *claim)
{
    return claim->incarnation == journal->options.incarnation &&
           strcmp(claim->host, journal->host) == 0;
}

static void
release_orphan(pps_journal_t *journal, const pps_claim_t *claim,
               uint64_t offset)
{
    pps_outcome_t outcome = {.claim_offset = offset,
                             .state = PPS_OUTCOME_NOT_RUN};

    memcpy(outcome.workspace, claim->workspace, sizeof(outcome.workspace));
    memcpy(outcome.key, claim->key, sizeof(outcome.key));
    pps_pending_add(journal, &outcome);
    pps_counter_add(PPS_COUNTER_CLAIMS_RELEASED, 1);
}

static void
decide_claim(pps_journal_t *journal, pps_waiter_t *waiter, int won,
             uint64_t offset)
{
    pps_held_claim_t held;

    pps_counter_add(won ? PPS_COUNTER_CLAIMS_GRANTED : PPS_COUNTER_CLAIMS_LOST,
                    1);
    if (won) {
        memset(waiter->verdict, 0, sizeof(*waiter->verdict));
        waiter->verdict->kind = PPS_VERDICT_GRANTED;
        waiter->verdict->fencing = offset;
        set_result(waiter, PPS_OK);
        return;
    }
    if (pps_work_fold_claim(journal->fold, &held, waiter->workspace,
                            waiter->name) < 0) {
        /* No claim holds the key: a later incarnation of this host has
         * claimed, so this claim was ignored. */
        set_result(waiter, PPS_EUNAVAILABLE);
        return;
    }
    set_result(waiter, pps_verdict_copy(waiter->verdict, journal, &held,
                                        waiter->digest));
}

static void
on_claim(pps_journal_t *journal, const pps_work_event_t *event,
         uint64_t offset)
{
    pps_waiter_t *waiter;

    if (!is_own(journal, &event->claim)) {
        return;
    }
    cds_list_for_each_entry (waiter, &journal->waiters, node) {
        if (waiter->kind == PPS_WAIT_CLAIM && !waiter->decided &&
            waiter->attempt == event->claim.attempt) {
            decide_claim(journal, waiter, event->won, offset);
            return;
        }
    }
    if (event->won) {
        release_orphan(journal, &event->claim, offset);
    }
}

static void
on_pin(pps_journal_t *journal, const pps_pin_t *pin)
{
    pps_held_pin_t held;
    pps_waiter_t *waiter;

    if (pps_work_fold_pin(journal->fold, &held, pin->workspace, pin->session,
                          pps_work_fold_log_time(journal->fold)) < 0) {
        return;
    }
    cds_list_for_each_entry (waiter, &journal->waiters, node) {
        if (waiter->kind == PPS_WAIT_PIN && !waiter->decided &&
            strcmp(waiter->workspace, pin->workspace) == 0 &&
            strcmp(waiter->name, pin->session) == 0) {
            memcpy(waiter->version, held.version, strlen(held.version) + 1);
            set_result(waiter, PPS_OK);
        }
    }
}

static int
fold_entry(pps_journal_t *journal, const pps_log_entry_t *entry)
{
    pps_work_event_t event;
    int error = pps_work_fold_apply(journal->fold, entry, &event);

    if (error < 0) {
        return error;
    }
    if (event.kind == PPS_WORK_CLAIM) {
        on_claim(journal, &event, entry->offset);
    }
    else if (event.kind == PPS_WORK_PIN) {
        on_pin(journal, &event.pin);
    }
    else if (event.kind == PPS_WORK_CHECKPOINT) {
        journal->checkpoint_seen_us = pps_clock_now_us();
    }
    return PPS_OK;
}

int
pps_journal_fold(pps_journal_t *journal, const pps_log_entry_t *entries,
                 size_t count)
{
    int error = PPS_OK;

    pthread_mutex_lock(&journal->mutex);
    for (size_t i = 0; i < count && error == 0; i++) {
        error = fold_entry(journal, &entries[i]);
    }
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

uint64_t
pps_journal_next(pps_journal_t *journal)
{
    uint64_t next;

    pthread_mutex_lock(&journal->mutex);
    next = pps_work_fold_next(journal->fold);
    pthread_mutex_unlock(&journal->mutex);
    return next;
}

void
pps_journal_on_read(pps_journal_t *journal, uint64_t first, uint64_t head,
                    int64_t read_us)
{
    pthread_mutex_lock(&journal->mutex);
    journal->log_first = first;
    if (pps_work_fold_next(journal->fold) >= head) {
        journal->head_read_us = read_us;
        pthread_cond_broadcast(&journal->head_read);
    }
    pthread_mutex_unlock(&journal->mutex);
}

/* Decides waiting claims whose records the restored state already includes: a
 * key held by the waiter's own attempt is granted to it. */
static void
decide_restored_claims(pps_journal_t *journal)
{
    pps_held_claim_t held;
    pps_waiter_t *waiter;

    cds_list_for_each_entry (waiter, &journal->waiters, node) {
        if (waiter->decided || waiter->kind != PPS_WAIT_CLAIM ||
            pps_work_fold_claim(journal->fold, &held, waiter->workspace,
                                waiter->name) < 0) {
            continue;
        }
        decide_claim(journal, waiter,
                     held.attempt == waiter->attempt &&
                         held.incarnation == journal->options.incarnation &&
                         strcmp(held.host, journal->host) == 0,
                     held.offset);
    }
}

void
pps_journal_restore(pps_journal_t *journal, pps_work_fold_t *fold)
{
    pthread_mutex_lock(&journal->mutex);
    pps_work_fold_free(journal->fold);
    journal->fold = fold;
    journal->checkpoint_seen_us = pps_clock_now_us();
    decide_restored_claims(journal);
    pthread_mutex_unlock(&journal->mutex);
}

void
pps_journal_tick(pps_journal_t *journal)
{
    int64_t now_us = pps_clock_now_us();

    pthread_mutex_lock(&journal->mutex);
    pps_pending_retry(journal, now_us);
    pps_uses_flush(journal, now_us);
    pthread_mutex_unlock(&journal->mutex);
}

void
pps_journal_stats(pps_journal_t *journal, pps_appender_stats_t *out)
{
    pps_appender_stats(journal->appender, out);
}
