/** @file exchange_hedge.c @brief Decides on and sends the copy of a request.
 */
#include "exchange_hedge.h"

#include "clock.h"
#include "crash_line.h"
#include "exchange_attempt.h"
#include "exchange_copy.h"
#include "exchange_evidence.h"
#include "exchange_link.h"
#include "exchange_poison.h"
#include "exchange_worker.h"
#include "hedge_log.h"
#include "path_watch.h"
#include "worker_gate.h"
#include "worker_permit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Share of the repeat limit that copies may use; the rest is left for
 * requests that have failed. */
#define HEDGE_REPEAT_SHARE 0.5
/** Attempts that a copy uses, and those needed if a larger model may still
 * have to be asked. */
#define COPY_ATTEMPTS 1
#define CASCADE_ATTEMPTS 2

static pps_hedge_delay_t *
delay_of(const pps_exchange_t *exchange)
{
    size_t kind = exchange->route->class_index % PPS_ROLLOUT_KINDS;
    size_t model = exchange->model < PPS_DISPATCH_MODELS
                       ? exchange->model
                       : PPS_DISPATCH_MODELS - 1;

    return &exchange->upstream_state->hedge_delays[kind][pps_hedge_size_class(
        exchange->call.prompt_tokens)][model];
}

static double
quantile_of(const pps_exchange_t *exchange)
{
    return pps_hedge_quantile(exchange->dispatcher->options.hedge_share);
}

/* Returns whether the worker's gates are all open and stay so whatever other
 * hosts send: a worker with a limit or permits has no room for copies. */
static int
is_fit(const pps_exchange_t *exchange, pps_pool_worker_t *worker)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_gate_answer_t answer;

    for (unsigned int i = 0; i < exchange->sends; i++) {
        if (strcmp(exchange->tried[i], worker->info.id) == 0) {
            return 0;
        }
    }
    pps_worker_gates_check(&answer, dispatcher, worker, exchange,
                           PPS_GATES_ALL);
    return answer.state == PPS_GATE_OPEN && !worker->cold.is_active &&
           !worker->limit.is_named &&
           !pps_worker_permit_is_brittle(dispatcher, worker, exchange) &&
           strcmp(worker->info.version, exchange->worker->info.version) == 0 &&
           !pps_path_watch_is_lost(dispatcher, worker);
}

static int
has_attempt_for_copy(const pps_exchange_t *exchange)
{
    const pps_route_t *route = exchange->route;
    int may_ask_larger = exchange->model + 1 < route->model_count;

    return pps_exchange_has_attempts_left(exchange) &&
           exchange->runs +
                   (may_ask_larger ? CASCADE_ATTEMPTS : COPY_ATTEMPTS) <=
               route->attempts_max;
}

static int
is_allowed(const pps_exchange_t *exchange)
{
    return exchange->worker != NULL && !exchange->begun &&
           has_attempt_for_copy(exchange) &&
           !pps_rollout_is_on_trial(&exchange->upstream_state->rollout) &&
           !pps_exchange_is_blocked(exchange) &&
           !pps_exchange_is_suspected(exchange);
}

static void
send_copy(pps_exchange_t *exchange, pps_pool_worker_t *worker)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;
    int error;

    snprintf(exchange->tried[exchange->sends++], PPS_WORKER_TEXT_BYTES, "%s",
             worker->info.id);
    exchange->runs++;
    hedge->is_sent = 1;
    pps_exchange_copy_swap(exchange);
    exchange->worker = worker;
    exchange->worker_start_ms = worker->info.start_ms;
    exchange->sent_us = exchange->dispatcher->reactor->now_us;
    exchange->last_received_us = exchange->sent_us;
    pps_exchange_begin_call(exchange);
    pps_exchange_evidence_begin(exchange);
    pps_exchange_queue_prompt(exchange, worker);
    error =
        pps_exchange_write_request(exchange, worker, &pps_exchange_copy_ops);
    pps_exchange_copy_swap(exchange);
    if (error != 0) {
        pps_exchange_copy_ops.on_fail(exchange, PPS_CHANNEL_UNSENT);
    }
}

/* Sends the copy if that is allowed and useful. @return whether it was sent */
static int
try_copy(pps_exchange_t *exchange)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;
    int64_t now_us = exchange->dispatcher->reactor->now_us;
    double load = pps_exchange_estimate_load(exchange);
    pps_pool_worker_t *worker;

    if (exchange->dispatcher->options.hedge_share <= 0 ||
        !pps_hedge_load_is_low(&exchange->upstream_state->hedge_load, load) ||
        !is_allowed(exchange)) {
        return 0;
    }
    worker = pps_exchange_choose_worker(exchange);
    if (worker == NULL || !is_fit(exchange, worker)) {
        return 0;
    }
    if (pps_exchange_take_repeat(exchange, HEDGE_REPEAT_SHARE) != 0) {
        pps_hedge_log_limited();
        return 0;
    }
    pps_hedge_limit_take(&exchange->upstream_state->hedge_limit);
    pps_hedge_log_sent(exchange, worker, now_us - hedge->waiter.sent_us,
                       hedge->waiter.usual_us, load);
    send_copy(exchange, worker);
    return 1;
}

static void
on_slow(int64_t now_us, void *user)
{
    pps_exchange_t *exchange = user;
    pps_hedge_limit_t *limit = &exchange->upstream_state->hedge_limit;

    pps_crash_line_set_request(exchange->call.id);
    exchange->hedge->is_slow = 1;
    pps_hedge_load_record(&exchange->upstream_state->hedge_load,
                          pps_exchange_estimate_load(exchange));
    if (pps_hedge_limit_is_open(limit)) {
        try_copy(exchange);
        return;
    }
    pps_hedge_log_limited();
    pps_hedge_limit_add_waiter(limit, &exchange->hedge->waiter);
}

void
pps_exchange_hedge_count_request(pps_exchange_t *exchange)
{
    pps_hedge_limit_t *limit = &exchange->upstream_state->hedge_limit;
    int64_t now_us = exchange->dispatcher->reactor->now_us;
    pps_hedge_waiter_t *waiter;

    pps_hedge_limit_count_request(limit,
                                  exchange->dispatcher->options.hedge_share);
    do {
        waiter = pps_hedge_limit_next(limit, now_us);
    } while (waiter != NULL && !try_copy(waiter->owner));
}

void
pps_exchange_hedge_watch(pps_exchange_t *exchange)
{
    int64_t usual_us = pps_hedge_delay_us(delay_of(exchange));
    pps_exchange_hedge_t *hedge;

    if (exchange->hedge != NULL || exchange->sends != 1 ||
        exchange->route->attempts_max < 2 ||
        !pps_exchange_is_repeatable(exchange)) {
        return;
    }
    hedge = calloc(1, sizeof(*hedge));
    if (hedge == NULL) {
        return;
    }
    exchange->hedge = hedge;
    hedge->is_watching = 1;
    hedge->waiter = (pps_hedge_waiter_t){
        .sent_us = exchange->sent_us, .usual_us = usual_us, .owner = exchange};
    if (usual_us > 0) {
        pps_reactor_after(exchange->dispatcher->reactor, &hedge->timer,
                          usual_us, on_slow, exchange);
    }
}

static void
stop_watching(pps_exchange_hedge_t *hedge)
{
    hedge->is_watching = 0;
    pps_timers_cancel(&hedge->timer);
    pps_hedge_limit_remove_waiter(&hedge->waiter);
}

void
pps_exchange_hedge_note_first_byte(pps_exchange_t *exchange)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;

    if (hedge != NULL && hedge->is_watching) {
        pps_hedge_delay_record(delay_of(exchange), quantile_of(exchange),
                               exchange->dispatcher->reactor->now_us -
                                   hedge->waiter.sent_us);
        stop_watching(hedge);
    }
}

void
pps_exchange_hedge_note_dropped(pps_exchange_t *exchange)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;

    if (hedge == NULL) {
        return;
    }
    if (hedge->is_watching && hedge->is_slow) {
        pps_hedge_delay_record_longer(delay_of(exchange),
                                      quantile_of(exchange));
    }
    stop_watching(hedge);
    if (hedge->is_over != NULL) {
        *hedge->is_over = 1;
        hedge->is_over = NULL;
    }
}

int
pps_exchange_hedge_is_under_way(const pps_exchange_t *exchange)
{
    return exchange->hedge != NULL && exchange->hedge->is_sent;
}

int
pps_exchange_hedge_take_over(pps_exchange_t *exchange)
{
    if (!pps_exchange_hedge_is_under_way(exchange)) {
        return 0;
    }
    pps_exchange_copy_promote(exchange, 0);
    return 1;
}

void
pps_exchange_hedge_cancel(pps_exchange_t *exchange)
{
    if (exchange->hedge != NULL) {
        stop_watching(exchange->hedge);
        pps_exchange_copy_drop(exchange, PPS_WORKER_ABANDONED);
    }
}

void
pps_exchange_hedge_free(pps_exchange_t *exchange)
{
    pps_exchange_hedge_cancel(exchange);
    if (exchange->hedge != NULL) {
        free(exchange->hedge);
        exchange->hedge = NULL;
    }
}
