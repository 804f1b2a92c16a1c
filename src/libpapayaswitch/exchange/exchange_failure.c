/** @file exchange_failure.c @brief Notes why an attempt failed, and retries.
 */
#include "exchange_failure.h"

#include "cold_gate.h"
#include "crash_watch.h"
#include "decision_log.h"
#include "exchange_hedge.h"
#include "path_watch.h"

/** Neighbours that are asked to pass on one request. */
#define FAILED_RELAYS_MAX 3

/* Counts only timeouts: a refused connection shows that the network path to
 * the worker works, unless other hosts find the worker sound. */
static void
record_connect_timeout(const pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t now_us = dispatcher->reactor->now_us;

    if (now_us - exchange->sent_us >= PPS_EXCHANGE_CONNECT_TIMEOUT_US) {
        pps_reachability_record_failure(&dispatcher->reach,
                                        exchange->worker->digest, now_us);
    }
}

/* Notes that no connection to the worker came about, here or at the
 * neighbour. */
static void
note_unreached(pps_exchange_t *exchange, pps_channel_failure_t failure)
{
    if (exchange->neighbour == NULL) {
        record_connect_timeout(exchange);
        pps_path_watch_note_unreached(exchange->dispatcher, exchange->worker,
                                      exchange->sent_us);
        return;
    }
    pps_pool_set_path_lost(exchange->worker, 0);
    if (failure == PPS_CHANNEL_UNANSWERED) {
        pps_neighbour_note_unreached(exchange->neighbour,
                                     exchange->dispatcher->reactor->now_us);
    }
}

/* Takes another neighbour: the worker has not seen the request. */
static void
retry_relay(pps_exchange_t *exchange)
{
    exchange->failed_relays++;
    exchange->sends--;
    pps_decision_log_relay_failed(exchange);
    pps_neighbour_note_failed(exchange->neighbour,
                              exchange->dispatcher->reactor->now_us);
    pps_exchange_drop_attempt(exchange, PPS_WORKER_ABANDONED);
    if (exchange->failed_relays < FAILED_RELAYS_MAX &&
        pps_exchange_has_attempts_left(exchange)) {
        pps_exchange_send(exchange);
        return;
    }
    pps_exchange_give_up(exchange, PPS_RETRY_AFTER_OTHER_HOST,
                         "workers_out_of_reach");
}

/* Takes another worker, as the neighbour sends nothing to this one now, or,
 * where it was asked for its share, any: others may have one. */
static void
retry_declined(pps_exchange_t *exchange)
{
    exchange->sends -= exchange->is_borrowed != 0;
    pps_decision_log_relay_failed(exchange);
    pps_exchange_drop_attempt(exchange, PPS_WORKER_ABANDONED);
    pps_exchange_retry_unsent(exchange, "relay_declined");
}

static void
retry_unsent(pps_exchange_t *exchange, pps_channel_failure_t failure)
{
    switch (failure) {
    case PPS_CHANNEL_NO_RELAY:
        retry_relay(exchange);
        break;
    case PPS_CHANNEL_RELAY_DECLINED:
        retry_declined(exchange);
        break;
    case PPS_CHANNEL_UNSENT:
        pps_exchange_drop_attempt(exchange, PPS_WORKER_UNREACHABLE);
        pps_exchange_retry_unsent(exchange, "no_connection");
        break;
    default:
        note_unreached(exchange, failure);
        pps_exchange_drop_attempt(exchange, PPS_WORKER_UNREACHABLE);
        pps_exchange_retry_unsent(exchange, "no_connection");
        break;
    }
}

static const char *
failure_reason(pps_channel_failure_t failure)
{
    switch (failure) {
    case PPS_CHANNEL_MALFORMED:
        return "malformed_answer";
    case PPS_CHANNEL_TOO_LARGE:
        return "too_large";
    case PPS_CHANNEL_UNSENT:
    case PPS_CHANNEL_UNANSWERED:
    case PPS_CHANNEL_REFUSED:
    case PPS_CHANNEL_NO_RELAY:
    case PPS_CHANNEL_RELAY_DECLINED:
    case PPS_CHANNEL_BROKEN:
        break;
    }
    return "connection_lost";
}

/* Returns how connecting failed, for the log. */
static const char *
connection_state(pps_channel_failure_t failure)
{
    switch (failure) {
    case PPS_CHANNEL_UNANSWERED:
        return "unanswered";
    case PPS_CHANNEL_REFUSED:
        return "refused";
    default:
        return "";
    }
}

void
pps_exchange_on_attempt_failed(pps_exchange_t *exchange,
                               pps_channel_failure_t failure)
{
    int is_waiting = 0;

    exchange->connection = connection_state(failure);
    if (failure == PPS_CHANNEL_REFUSED) {
        pps_cold_gate_note_refused(exchange->dispatcher, exchange->worker);
    }
    if (pps_channel_is_unsent(failure)) {
        exchange->is_sent = 0;
        exchange->runs--;
        retry_unsent(exchange, failure);
        return;
    }
    if (failure == PPS_CHANNEL_BROKEN && !exchange->was_held_back) {
        is_waiting = pps_crash_watch_note_break(exchange);
    }
    pps_exchange_blame_worker(exchange);
    if (is_waiting) {
        pps_exchange_hedge_cancel(exchange);
    }
    else {
        pps_exchange_retry(exchange, failure_reason(failure), 1);
    }
}
