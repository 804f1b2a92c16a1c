/** @file brittle_notes.c @brief What workers and hosts say of brittleness. */
#include "brittle_notes.h"

#include "clock.h"
#include "decision_log.h"
#include "worker_permit.h"

#include <string.h>

/** Time between reports of a worker that stays brittle, by any host; datagrams
 * may be lost. */
#define REPORT_PERIOD_US (500 * PPS_US_PER_MS)
/** Share of a worker's slots by which what it holds shrinks until other hosts
 * have to know at once. */
#define HELD_CHANGE_SHARE 0.25

static void
report(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
       const pps_brittle_notice_t *notice)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, worker->info.upstream);
    int64_t now_us = dispatcher->reactor->now_us;
    pps_brittle_notice_t told = *notice;

    worker->permits_told_us = now_us;
    worker->permits_told_held = notice->held;
    if (state != NULL) {
        told.longest_tokens =
            pps_longest_prompt_tokens(&state->longest_prompt, now_us);
    }
    if (dispatcher->brittle_notice != NULL) {
        dispatcher->brittle_notice(dispatcher->notice_user, &told);
    }
}

/* All hosts keep to the permits of an upstream's workers from now on. */
static void
begin_permits(pps_dispatcher_t *dispatcher, const char *upstream)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (strcmp(worker->info.upstream, upstream) == 0) {
            pps_pool_begin_permits(worker, dispatcher->reactor->now_us);
        }
    }
}

/* Notes what is said of an upstream. */
static void
apply_to_upstream(pps_dispatcher_t *dispatcher,
                  const pps_pool_worker_t *worker,
                  const pps_brittle_notice_t *notice, const char *source)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, worker->info.upstream);
    int64_t at_us = dispatcher->reactor->now_us - notice->age_us;
    int is_changed;

    if (state == NULL) {
        return;
    }
    pps_longest_prompt_note(&state->longest_prompt, notice->longest_tokens,
                            dispatcher->reactor->now_us);
    is_changed = notice->is_brittle
                     ? pps_brittle_upstream_name(&state->brittle, at_us)
                     : pps_brittle_upstream_deny(&state->brittle, at_us);
    if (is_changed) {
        pps_decision_log_upstream_brittle(worker, notice->is_brittle, source);
    }
    if (is_changed && notice->is_brittle) {
        begin_permits(dispatcher, worker->info.upstream);
    }
}

/* Notes what a worker was seen to hold. */
static void
note_held(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
          const pps_brittle_notice_t *notice)
{
    const pps_service_time_t time =
        pps_worker_permit_service_time(dispatcher, worker);
    int64_t at_us = dispatcher->reactor->now_us - notice->age_us;
    unsigned int own = worker->in_flight - worker->borrowed;

    if (!notice->is_brittle || notice->held <= 0) {
        return;
    }
    own -= worker->slots_before < own ? worker->slots_before : own;
    pps_uncounted_calls_note_held(&worker->uncounted, notice->held - own,
                                  &time, at_us);
}

/* Notes what a worker says since its start.
 * @return whether other hosts have to know */
static int
apply_to_worker(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                const pps_brittle_notice_t *notice, const char *source)
{
    int64_t at_us = dispatcher->reactor->now_us - notice->age_us;
    pps_worker_permits_t *permits = &worker->permits;
    int is_changed = notice->is_brittle
                         ? pps_worker_permits_name(permits, at_us)
                         : pps_worker_permits_end(permits, at_us);
    int is_rejected = notice->is_brittle && notice->is_rejected;

    if (is_rejected) {
        pps_worker_permits_reject(permits, notice->held, worker->slots, at_us);
    }
    if (is_changed || is_rejected) {
        pps_decision_log_brittle(worker, notice, source);
    }
    return is_changed || is_rejected;
}

/* Returns the requests that were at a brittle worker when it answered; 0:
 * unknown. */
static double
held_at(const pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker,
        const pps_worker_reply_t *reply)
{
    if (!reply->is_brittle) {
        return 0;
    }
    if (reply->has_load) {
        return (double)reply->running + reply->waiting;
    }
    return reply->not_run
               ? pps_pool_worker_busy(worker, dispatcher->reactor->now_us,
                                      dispatcher->hosts)
               : 0;
}

/* Returns whether what the worker holds has shrunk by so much that other hosts
 * may send more. */
static int
has_drained(const pps_pool_worker_t *worker,
            const pps_brittle_notice_t *notice)
{
    return worker->uncounted.since_us != 0 && notice->held > 0 &&
           notice->held < worker->slots &&
           worker->permits_told_held - notice->held >=
               worker->slots * HELD_CHANGE_SHARE;
}

/* Returns whether an answer without the statement says anything: bytes that
 * are none of the worker's answers say nothing. */
static int
is_genuine(const pps_worker_reply_t *reply)
{
    return reply->id != NULL && (reply->sealed || reply->not_run);
}

static void
note_reply(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
           const pps_worker_reply_t *reply, pps_brittle_notice_t *notice,
           int tells_hosts)
{
    int64_t now_us = dispatcher->reactor->now_us;
    int was_brittle = worker->permits.is_brittle;
    int is_news;

    apply_to_upstream(dispatcher, worker, notice, "answer");
    is_news = apply_to_worker(dispatcher, worker, notice, "answer");
    note_held(dispatcher, worker, notice);
    if (!tells_hosts || (!was_brittle && !reply->is_brittle)) {
        return;
    }
    if (is_news || has_drained(worker, notice) ||
        now_us - worker->permits_told_us >= REPORT_PERIOD_US) {
        report(dispatcher, worker, notice);
    }
}

static pps_brittle_notice_t
notice_of(const pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker,
          const pps_worker_reply_t *reply, int64_t start_ms, int64_t sent_us)
{
    pps_brittle_notice_t notice = {
        .worker = worker->digest,
        .start_ms = start_ms,
        .is_brittle = reply->is_brittle,
        .is_rejected = reply->is_brittle && reply->not_run,
        .age_us =
            reply->is_brittle ? 0 : dispatcher->reactor->now_us - sent_us,
    };

    notice.held = held_at(dispatcher, worker, reply);
    return notice;
}

void
pps_exchange_note_brittle(pps_exchange_t *exchange,
                          const pps_worker_reply_t *reply)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_pool_worker_t *worker = exchange->worker;
    pps_brittle_notice_t notice;

    if (reply->invalid_brittle && !worker->is_brittle_reported) {
        worker->is_brittle_reported = 1;
        pps_decision_log_invalid_brittle(exchange);
    }
    if (!reply->is_brittle && (reply->invalid_brittle || !is_genuine(reply))) {
        return;
    }
    notice = notice_of(dispatcher, worker, reply, exchange->worker_start_ms,
                       exchange->sent_us);
    if (notice.is_rejected) {
        pps_decision_log_brittle_rejected(exchange, reply);
    }
    note_reply(dispatcher, worker, reply, &notice, 1);
}

void
pps_brittle_note_relayed(pps_dispatcher_t *dispatcher,
                         pps_pool_worker_t *worker,
                         const pps_worker_reply_t *reply, int64_t sent_us)
{
    pps_brittle_notice_t notice;

    if (!reply->is_brittle && (reply->invalid_brittle || !is_genuine(reply))) {
        return;
    }
    notice =
        notice_of(dispatcher, worker, reply, worker->info.start_ms, sent_us);
    note_reply(dispatcher, worker, reply, &notice, 0);
}

void
pps_dispatcher_on_brittle(pps_dispatcher_t *dispatcher,
                          const pps_brittle_notice_t *notice)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, notice->worker);
    pps_brittle_notice_t known = *notice;

    if (worker == NULL) {
        return;
    }
    if (known.is_for_older || known.held >= PPS_BRITTLE_HELD_UNKNOWN) {
        known.is_rejected = 0;
        known.held = 0;
    }
    apply_to_upstream(dispatcher, worker, &known, "host");
    if (worker->info.start_ms == known.start_ms) {
        worker->permits_told_us = dispatcher->reactor->now_us;
        worker->permits_told_held = known.held;
        apply_to_worker(dispatcher, worker, &known, "host");
        note_held(dispatcher, worker, &known);
        if (known.is_brittle && known.held > 0) {
            pps_pool_note_held(worker, known.held,
                               dispatcher->reactor->now_us - known.age_us);
        }
    }
}
