/** @file exchange_notes.c @brief Tells the pool and the other hosts. */
#include "exchange_notes.h"

#include "brittle_notes.h"
#include "cold_gate.h"
#include "decision_log.h"
#include "worker_share.h"

void
pps_dispatcher_note_leaving(pps_dispatcher_t *dispatcher,
                            pps_pool_worker_t *worker, int64_t start_ms)
{
    if (pps_pool_set_leaving(worker, start_ms)) {
        pps_decision_log_leaving(worker, "answer");
        if (dispatcher->leaving != NULL) {
            dispatcher->leaving(dispatcher->notice_user, worker->digest,
                                start_ms);
        }
    }
}

/* Reports a pause to the other hosts as a backlog of prompts: they prefer
 * other workers, but may call this one. */
static void
send_backlog(pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker,
             int64_t pause_us)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, worker->info.upstream);
    pps_prefill_notice_t notice = {.worker = worker->digest};

    if (dispatcher->notice != NULL && state != NULL) {
        notice.work = (double)pause_us * state->prefill_rate.tokens_per_us;
        dispatcher->notice(dispatcher->notice_user, &notice);
    }
}

void
pps_dispatcher_note_pause(pps_dispatcher_t *dispatcher,
                          pps_pool_worker_t *worker,
                          const pps_worker_reply_t *reply)
{
    int64_t now_us = dispatcher->reactor->now_us;
    const char *id = reply->id != NULL ? reply->id : "";

    if (reply->invalid_pause && !worker->is_pause_reported) {
        worker->is_pause_reported = 1;
        pps_decision_log_invalid_pause(worker, id, reply->pause_us);
    }
    if (reply->pause_us > 0) {
        pps_pool_pause(worker, now_us, now_us + reply->pause_us);
        pps_decision_log_paused(worker, id, reply->pause_us);
        send_backlog(dispatcher, worker, reply->pause_us);
    }
}

void
pps_exchange_note_limit(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply)
{
    pps_pool_worker_t *worker = exchange->worker;
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (reply->invalid_limit && !worker->is_limit_reported) {
        worker->is_limit_reported = 1;
        pps_decision_log_invalid_limit(exchange);
    }
    if (reply->has_limit) {
        pps_worker_share_name(dispatcher, worker, exchange->worker_start_ms,
                              reply->limit_per_s);
    }
    else if (!reply->invalid_limit) {
        pps_worker_share_end(dispatcher, worker, exchange->worker_start_ms,
                             exchange->sent_us);
    }
}

void
pps_exchange_note_gates(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (exchange->is_borrowed) {
        pps_borrow_budget_refund(&dispatcher->borrows);
    }
    if (!reply->other_worker) {
        pps_exchange_note_limit(exchange, reply);
        pps_exchange_note_brittle(exchange, reply);
        pps_cold_gate_note_reply(dispatcher, exchange->worker, reply,
                                 exchange->sent_us);
    }
    pps_dispatcher_note_pause(dispatcher, exchange->worker, reply);
}
