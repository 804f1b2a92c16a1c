/** @file exchange_attempt.c @brief Sends a request to a worker and retries. */
#include "exchange_attempt.h"

#include "clock.h"
#include "crash_line.h"
#include "crash_watch.h"
#include "decision_log.h"
#include "exchange_evidence.h"
#include "exchange_failure.h"
#include "exchange_hedge.h"
#include "exchange_link.h"
#include "exchange_poison.h"
#include "exchange_reply.h"
#include "exchange_unplaced.h"
#include "exchange_worker.h"
#include "home_gate.h"
#include "left_call.h"
#include "papayaswitch/errors.h"
#include "path_watch.h"

#include <stdio.h>
#include <string.h>

/** Minimum remaining time at which a request is sent again. */
#define TIME_LEFT_MIN_US (15 * PPS_US_PER_MS)
/** Shares of the repeat limit that repeats after silence and after a
 * failure may use. */
#define SILENCE_REPEAT_SHARE 0.95
#define FAILURE_REPEAT_SHARE 0.95
/** Multiples of the route's target and of the usual time to first byte; a
 * worker counts as silent after the longer of the two. */
#define SILENCE_TARGET_FACTOR 0.8
#define SILENCE_USUAL_FACTOR 4.0
#define SILENCE_MIN_US (60 * PPS_US_PER_MS)
/** Multiple of the route's target pause between events after which a stream
 * counts as broken. */
#define SILENCE_GAP_FACTOR 1.5
/** Prefill time above which a prompt is announced to the other hosts. */
#define NOTICE_READ_MIN_US (10.0 * PPS_US_PER_MS)
/** Longest prompt, in tokens, of the most urgent level at a worker; each
 * doubling is one level less urgent. */
#define PRIORITY_FIRST_TOKENS_MAX 300
#define PRIORITY_LAST 9
/** Levels per rank of difference between a workspace and its route. */
#define PRIORITY_LEVELS_PER_RANK 2

void
pps_exchange_drop_attempt(pps_exchange_t *exchange,
                          pps_worker_outcome_t outcome)
{
    pps_timers_cancel(&exchange->silence_timer);
    pps_exchange_hedge_note_dropped(exchange);
    if (exchange->worker != NULL) {
        exchange->worker->borrowed -= exchange->is_borrowed != 0;
        pps_left_call_end_attempt(exchange, outcome);
        exchange->is_borrowed = 0;
        exchange->worker = NULL;
    }
    pps_exchange_close_link(exchange);
    exchange->attempt = PPS_ATTEMPT_NONE;
    exchange->is_held_back = 0;
    pps_exchange_discard_answer(exchange);
}

int
pps_exchange_has_attempts_left(const pps_exchange_t *exchange)
{
    return exchange->runs < exchange->route->attempts_max &&
           exchange->sends < PPS_SENDS_MAX &&
           pps_exchange_time_left_us(exchange) > TIME_LEFT_MIN_US;
}

int
pps_exchange_take_repeat(pps_exchange_t *exchange, double share)
{
    const pps_repeat_bounds_t bounds =
        pps_dispatcher_repeat_bounds(exchange->dispatcher);

    return pps_repeat_limit_take(&exchange->upstream_state->repeats, &bounds,
                                 exchange->dispatcher->reactor->now_us, share);
}

/* A host that has lost its path to the worker, or has not read what it sent,
 * blames neither the worker nor its version for a connection that broke or
 * fell silent. */
void
pps_exchange_blame_worker(pps_exchange_t *exchange)
{
    int is_lost =
        exchange->neighbour == NULL &&
        pps_path_watch_is_lost(exchange->dispatcher, exchange->worker);
    int is_excused = is_lost || exchange->was_held_back;

    if (!is_excused) {
        pps_exchange_evidence_count_failure(exchange);
    }
    pps_exchange_drop_attempt(exchange, is_excused ? PPS_WORKER_ABANDONED
                                                   : PPS_WORKER_FAILED);
}

static void
retry_or_give_up(pps_exchange_t *exchange, int is_allowed, const char *reason,
                 int may_have_run)
{
    if (is_allowed) {
        pps_decision_log_repeated(exchange, reason, may_have_run);
        pps_exchange_send(exchange);
        return;
    }
    pps_exchange_give_up(exchange, PPS_RETRY_AFTER_FULL, reason);
}

void
pps_exchange_retry(pps_exchange_t *exchange, const char *reason,
                   int may_have_run)
{
    int is_allowed;

    if (pps_exchange_hedge_take_over(exchange)) {
        return;
    }
    is_allowed = pps_exchange_has_attempts_left(exchange) &&
                 (!may_have_run || pps_exchange_is_repeatable(exchange)) &&
                 pps_exchange_take_repeat(exchange, FAILURE_REPEAT_SHARE) == 0;

    retry_or_give_up(exchange, is_allowed, reason, may_have_run);
}

void
pps_exchange_retry_unsent(pps_exchange_t *exchange, const char *reason)
{
    if (pps_exchange_hedge_take_over(exchange)) {
        return;
    }
    retry_or_give_up(exchange, pps_exchange_has_attempts_left(exchange),
                     reason, 0);
}

static void
on_silence(int64_t now_us, void *user)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    if (pps_exchange_hedge_is_under_way(exchange)) {
        pps_exchange_blame_worker(exchange);
        pps_exchange_hedge_take_over(exchange);
        return;
    }
    if (!pps_exchange_has_attempts_left(exchange) ||
        pps_exchange_take_repeat(exchange, SILENCE_REPEAT_SHARE) != 0) {
        pps_decision_log_no_repeat(exchange);
        return;
    }
    pps_decision_log_repeated(exchange, "silence", 1);
    if (exchange->answer_us == 0) {
        pps_crash_watch_note_silence(exchange);
    }
    pps_exchange_blame_worker(exchange);
    pps_exchange_send(exchange);
}

static int64_t
silence_limit_us(const pps_exchange_t *exchange)
{
    const pps_route_t *route = exchange->route;
    const pps_upstream_state_t *state = exchange->upstream_state;
    double usual_us =
        (state->first_byte_us + (exchange->work + exchange->backlog) /
                                    state->prefill_rate.tokens_per_us) *
        SILENCE_USUAL_FACTOR;
    double limit_us = (double)route->target_us * SILENCE_TARGET_FACTOR;

    if (exchange->attempt == PPS_ATTEMPT_STREAMING) {
        return (int64_t)((double)route->gap_us * SILENCE_GAP_FACTOR);
    }
    if (limit_us < usual_us) {
        limit_us = usual_us;
    }
    return limit_us < SILENCE_MIN_US ? SILENCE_MIN_US : (int64_t)limit_us;
}

void
pps_exchange_restart_silence_timer(pps_exchange_t *exchange)
{
    int64_t limit_us = silence_limit_us(exchange);

    if (limit_us > 0 && pps_exchange_is_repeatable(exchange)) {
        pps_reactor_after(exchange->dispatcher->reactor,
                          &exchange->silence_timer, limit_us, on_silence,
                          exchange);
    }
}

static void
on_failure(void *user, pps_channel_failure_t failure)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    exchange->channel = NULL;
    exchange->relay_call = NULL;
    pps_exchange_on_attempt_failed(exchange, failure);
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    return pps_exchange_on_reply_head(exchange, reply);
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    pps_exchange_on_reply_body(exchange, data, size);
}

static void
on_end(void *user)
{
    pps_exchange_t *exchange = user;

    exchange->relay_call = NULL;
    pps_crash_line_set_request(exchange->call.id);
    pps_exchange_on_reply_end(exchange);
}

const pps_channel_ops_t pps_exchange_channel_ops = {on_head, on_body, on_end,
                                                    on_failure};

/* Returns the level of urgency. Shorter prompts are more urgent because they
 * delay later prompts less. The workspace's priority raises or lowers the
 * level relative to the route's. */
static int
worker_priority(const pps_exchange_t *exchange)
{
    int64_t tokens = exchange->call.prompt_tokens;
    int priority =
        ((int)pps_exchange_rank(exchange) - exchange->route->priority) *
        PRIORITY_LEVELS_PER_RANK;

    while (tokens > PRIORITY_FIRST_TOKENS_MAX) {
        tokens /= 2;
        priority++;
    }
    if (priority < 0) {
        return 0;
    }
    return priority < PRIORITY_LAST ? priority : PRIORITY_LAST;
}

int
pps_exchange_write_request(pps_exchange_t *exchange,
                           const pps_pool_worker_t *worker,
                           const pps_channel_ops_t *ops)
{
    const pps_route_t *route = exchange->route;
    pps_buf_t text = PPS_BUF_INIT;
    pps_worker_request_t worker_request = {
        .worker_id = worker->info.id,
        .workspace = exchange->workspace ? exchange->workspace->name : NULL,
        .model =
            route->model_count > 0 ? route->models[exchange->model] : NULL,
        .remaining_us = exchange->deadline_us == INT64_MAX
                            ? 0
                            : pps_exchange_time_left_us(exchange),
        .last_event = exchange->last_event,
        .has_last_event = exchange->has_last_event,
        .priority =
            route->kind == PPS_CALL_STREAM ? worker_priority(exchange) : -1,
    };
    int error = exchange->dispatcher->worker->encode(
        &text, exchange->request, &exchange->call, &worker_request);

    if (error == 0) {
        error = pps_exchange_open_link(exchange, &text, ops);
    }
    pps_buf_clear(&text);
    return error;
}

static void
notify_hosts(const pps_exchange_t *exchange, const pps_pool_worker_t *worker)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    const pps_prefill_notice_t notice = {
        .worker = worker->digest,
        .prefix = exchange->call.shared_tokens > 0
                      ? pps_exchange_prefix_digest(exchange)
                      : 0,
        .work = exchange->work,
    };

    if (dispatcher->notice != NULL &&
        exchange->work > exchange->upstream_state->prefill_rate.tokens_per_us *
                             NOTICE_READ_MIN_US) {
        dispatcher->notice(dispatcher->notice_user, &notice);
    }
}

void
pps_exchange_queue_prompt(pps_exchange_t *exchange, pps_pool_worker_t *worker)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    const pps_prefill_rate_t *rate = &exchange->upstream_state->prefill_rate;
    int64_t now_us = dispatcher->reactor->now_us;

    exchange->work = pps_exchange_estimate_work(exchange, worker);
    exchange->backlog =
        pps_prefill_queue_tokens(&worker->prefill, rate, now_us);
    pps_prefill_queue_add(&worker->prefill, rate, exchange->work, now_us);
    notify_hosts(exchange, worker);
}

void
pps_exchange_record_prefix(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (exchange->call.shared_tokens > 0) {
        pps_prefix_affinity_record(
            &dispatcher->prefixes, pps_exchange_prefix_digest(exchange),
            exchange->worker->digest, dispatcher->reactor->now_us);
    }
}

/* Returns whether the request has to be refused, since no worker is reached.
 * A few requests are sent all the same, to find out. */
static int
is_out_of_reach(const pps_exchange_t *exchange)
{
    const pps_neighbour_filter_t filter = pps_home_gate_filter(exchange);
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (!pps_path_watch_is_out_of_reach(dispatcher, &filter)) {
        return 0;
    }
    return pps_path_watch_is_cut(dispatcher) ||
           !pps_reachability_admit_call(&dispatcher->reach,
                                        dispatcher->reactor->now_us);
}

void
pps_exchange_send(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_pool_worker_t *worker;

    if (pps_exchange_hedge_take_over(exchange) ||
        pps_exchange_refuse_poison(exchange)) {
        return;
    }
    if (exchange->runs == 0 && is_out_of_reach(exchange)) {
        pps_exchange_give_up(exchange, PPS_RETRY_AFTER_OTHER_HOST,
                             "workers_out_of_reach");
        return;
    }
    worker = pps_exchange_choose_worker(exchange);
    if (worker == NULL) {
        pps_exchange_refuse_unplaced(exchange);
        return;
    }
    snprintf(exchange->tried[exchange->sends++], PPS_WORKER_TEXT_BYTES, "%s",
             worker->info.id);
    exchange->worker = worker;
    exchange->worker_start_ms = worker->info.start_ms;
    exchange->attempt = PPS_ATTEMPT_SENT;
    exchange->sent_us = dispatcher->reactor->now_us;
    exchange->connection = "";
    exchange->answer_us = 0;
    exchange->went_on = 0;
    exchange->is_sent = 0;
    exchange->is_whole = 0;
    exchange->was_held_back = 0;
    exchange->has_event = 0;
    exchange->last_received_us = exchange->sent_us;
    pps_exchange_choose_neighbour(exchange);
    pps_exchange_begin_call(exchange);
    pps_exchange_evidence_begin(exchange);
    pps_exchange_queue_prompt(exchange, worker);
    pps_exchange_record_prefix(exchange);
    exchange->runs++;
    pps_decision_log_sent(exchange);
    if (pps_exchange_write_request(exchange, worker,
                                   &pps_exchange_channel_ops) != 0) {
        pps_exchange_on_attempt_failed(exchange, exchange->neighbour != NULL
                                                     ? PPS_CHANNEL_NO_RELAY
                                                     : PPS_CHANNEL_UNSENT);
        return;
    }
    exchange->is_sent = 1;
    pps_exchange_restart_silence_timer(exchange);
    if (dispatcher->options.hedge_share > 0) {
        pps_exchange_hedge_watch(exchange);
    }
}
