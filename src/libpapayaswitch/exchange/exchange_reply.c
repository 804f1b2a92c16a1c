/** @file exchange_reply.c @brief Forwards a worker's reply or retries. */
#include "exchange_reply.h"

#include "answer_end.h"
#include "answer_times.h"
#include "clock.h"
#include "crash_watch.h"
#include "decision_log.h"
#include "exchange_evidence.h"
#include "exchange_failure.h"
#include "exchange_flow.h"
#include "exchange_hedge.h"
#include "exchange_held.h"
#include "exchange_notes.h"
#include "exchange_poison.h"
#include "exchange_worker.h"
#include "model_choice.h"
#include "papayaswitch/errors.h"
#include "path_watch.h"

#include <string.h>

/** Share of the repeat limit that answers of low confidence may use. */
#define CONFIDENCE_REPEAT_SHARE 0.92

/* Retries a request that has not run, as stated by the worker. */
static void
retry_refused(pps_exchange_t *exchange, const pps_worker_reply_t *reply)
{
    exchange->runs--;
    pps_exchange_drop_attempt(exchange, reply->other_worker ? PPS_WORKER_MOVED
                                                            : PPS_WORKER_FULL);
    pps_exchange_retry(
        exchange, reply->other_worker ? "other_worker" : "worker_full", 0);
}

/* Returns the load at which the larger model is to be asked for this request.
 * Where capacity changes, it depends on the work that the request is. */
static double
cascade_load(pps_exchange_t *exchange)
{
    pps_upstream_state_t *state = exchange->upstream_state;
    int64_t prompt_tokens = exchange->call.prompt_tokens;
    double load = pps_exchange_estimate_load(exchange);

    if (exchange->route->model_count == 0 ||
        (!exchange->dispatcher->options.has_pressure &&
         !state->states_speed)) {
        return load;
    }
    if (exchange->model == 0) {
        pps_model_cost_add(&state->cascade_cost, prompt_tokens);
    }
    return load * pps_model_cost_factor(&state->cascade_cost, prompt_tokens);
}

/* Asks a larger model if the confidence is too low. Returns whether the answer
 * was dropped for that. */
static int
ask_larger_model(pps_exchange_t *exchange, const pps_worker_reply_t *reply)
{
    const pps_route_t *route = exchange->route;
    const pps_repeat_bounds_t bounds =
        pps_dispatcher_repeat_bounds(exchange->dispatcher);
    pps_repeat_limit_t *repeats = &exchange->upstream_state->repeats;
    int64_t now_us = exchange->dispatcher->reactor->now_us;
    const pps_model_choice_t choice = {
        .model = exchange->model,
        .model_count = route->model_count,
        .confidence = reply->confidence,
        .attempts_left = route->attempts_max - exchange->runs,
        .confidence_min = exchange->dispatcher->options.confidence_min,
        .load = cascade_load(exchange),
        .repeats_used = pps_repeat_limit_used(repeats, &bounds, now_us),
    };
    size_t next;

    if (route->model_count == 0 || exchange->begun ||
        !pps_exchange_is_repeatable(exchange) ||
        !pps_exchange_has_attempts_left(exchange)) {
        return 0;
    }
    next = pps_model_choose(&choice);
    if (next == exchange->model || !pps_exchange_can_ask(exchange, next) ||
        pps_repeat_limit_take(repeats, &bounds, now_us,
                              CONFIDENCE_REPEAT_SHARE) != 0) {
        return 0;
    }
    pps_decision_log_larger_model(exchange, reply->confidence, choice.load);
    pps_exchange_hedge_cancel(exchange);
    pps_exchange_drop_attempt(exchange, PPS_WORKER_SERVED);
    exchange->model = next;
    pps_exchange_send(exchange);
    return 1;
}

static void
accept_success(pps_exchange_t *exchange, const pps_http_reply_t *reply,
               const pps_worker_reply_t *decoded)
{
    pps_answer_times_note_first_byte(exchange);
    pps_exchange_evidence_count_head(exchange);
    if (ask_larger_model(exchange, decoded)) {
        return;
    }
    if (!exchange->begun) {
        exchange->fields.size = 0;
        exchange->dispatcher->worker->fields(&exchange->fields, reply);
        exchange->status = reply->status;
    }
    exchange->attempt = exchange->route->kind == PPS_CALL_STREAM
                            ? PPS_ATTEMPT_STREAMING
                            : PPS_ATTEMPT_BUFFERING;
    if (exchange->attempt == PPS_ATTEMPT_BUFFERING) {
        pps_exchange_hedge_note_first_byte(exchange);
    }
    pps_exchange_restart_silence_timer(exchange);
}

/* These statuses mean to callers that the request was not run. They must not
 * be forwarded unless the worker has stated that. */
static int
implies_not_run(unsigned int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/* Retries at another worker, or forwards the error reply to the caller. */
static void
retry_or_forward_error(pps_exchange_t *exchange, const pps_http_reply_t *reply,
                       const pps_worker_reply_t *decoded)
{
    int untrusted = !decoded->sealed || implies_not_run(reply->status);
    int error = reply->status >= 500 || untrusted;

    if (error) {
        pps_exchange_evidence_count_failure(exchange);
    }
    if ((error && pps_exchange_is_repeatable(exchange) &&
         (exchange->runs < exchange->route->attempts_max ||
          pps_exchange_hedge_is_under_way(exchange))) ||
        exchange->begun || untrusted) {
        pps_exchange_drop_attempt(exchange, PPS_WORKER_FAILED);
        pps_exchange_retry(exchange, "worker_error", 1);
        return;
    }
    exchange->fields.size = 0;
    exchange->dispatcher->worker->fields(&exchange->fields, reply);
    exchange->status = reply->status;
    exchange->attempt = PPS_ATTEMPT_BUFFERING;
}

/* Notes that bytes of the worker have come. */
static void
note_reached(const pps_exchange_t *exchange)
{
    if (exchange->neighbour != NULL) {
        pps_neighbour_note_reached(exchange->neighbour);
        return;
    }
    pps_path_watch_note_reached(exchange->dispatcher, exchange->worker,
                                exchange->sent_us);
}

int
pps_exchange_on_reply_head(pps_exchange_t *exchange,
                           const pps_http_reply_t *reply)
{
    pps_worker_reply_t decoded;
    int64_t now_us = exchange->dispatcher->reactor->now_us;

    exchange->last_received_us = now_us;
    note_reached(exchange);
    exchange->dispatcher->worker->decode(&decoded, reply);
    if (decoded.leaving) {
        pps_dispatcher_note_leaving(exchange->dispatcher, exchange->worker,
                                    exchange->worker_start_ms);
    }
    if (decoded.id != NULL && strcmp(decoded.id, exchange->call.id) != 0) {
        pps_decision_log_foreign_answer(exchange);
        return 1;
    }
    exchange->answer_us = now_us;
    exchange->is_unframed = decoded.is_unframed;
    exchange->is_json = decoded.is_json;
    exchange->upstream_state->states_speed |= decoded.has_speed;
    if (decoded.has_load) {
        pps_pool_record_load(exchange->worker, decoded.running,
                             decoded.waiting, decoded.slots, now_us);
    }
    pps_exchange_evidence_note_load(exchange, &decoded);
    pps_exchange_note_gates(exchange, &decoded);
    pps_decision_log_answer_began(exchange, reply->status, decoded.confidence);
    pps_timers_cancel(&exchange->silence_timer);
    if (decoded.not_run) {
        retry_refused(exchange, &decoded);
    }
    else if (pps_http_status_is_success(reply->status) && decoded.sealed &&
             decoded.id != NULL) {
        accept_success(exchange, reply, &decoded);
    }
    else {
        retry_or_forward_error(exchange, reply, &decoded);
    }
    return 0;
}

static void
begin_answer(pps_exchange_t *exchange)
{
    if (!exchange->begun) {
        pps_exchange_hedge_note_first_byte(exchange);
        pps_exchange_hedge_cancel(exchange);
        exchange->begun = 1;
        pps_answer_times_observe_first_byte(exchange);
        pps_http_conn_begin(exchange->conn, exchange->status,
                            pps_buf_text(&exchange->fields));
    }
}

static void
on_event(void *user, const char *text, size_t size, int64_t id)
{
    pps_exchange_t *exchange = user;

    exchange->event_arrived = 1;
    exchange->has_event = 1;
    if (id >= 0 && exchange->has_last_event && id <= exchange->last_event) {
        return;
    }
    begin_answer(exchange);
    pps_http_conn_chunk(exchange->conn, text, size);
    if (id >= 0) {
        exchange->last_event = id;
        exchange->has_last_event = 1;
    }
}

/* Forwards events. Only a complete event shows that the stream goes on: a
 * stalled worker may send a byte now and then. */
static int
feed_events(pps_exchange_t *exchange, const char *data, size_t size)
{
    int error;

    exchange->event_arrived = 0;
    error = pps_event_split_feed(&exchange->events, data, size, on_event,
                                 exchange);
    if (error == 0) {
        error = pps_exchange_hold_answer(exchange);
    }
    if (exchange->event_arrived) {
        pps_exchange_restart_silence_timer(exchange);
    }
    if (error == 0) {
        pps_exchange_check_flow(exchange);
    }
    return error;
}

static int
buffer_body(pps_exchange_t *exchange, const char *data, size_t size)
{
    if (exchange->body.size + size > PPS_HELD_ANSWER_BYTES_MAX) {
        return PPS_ELIMIT;
    }
    if (pps_buf_append(&exchange->body, data, size) != 0) {
        return PPS_ENOMEM;
    }
    return pps_exchange_hold_answer(exchange);
}

void
pps_exchange_on_reply_body(pps_exchange_t *exchange, const char *data,
                           size_t size)
{
    int error;

    exchange->last_received_us = exchange->dispatcher->reactor->now_us;
    note_reached(exchange);
    pps_exchange_note_progress(exchange);
    if (exchange->attempt == PPS_ATTEMPT_STREAMING) {
        error = feed_events(exchange, data, size);
    }
    else {
        error = buffer_body(exchange, data, size);
    }
    if (error != 0) {
        pps_exchange_on_attempt_failed(exchange, PPS_CHANNEL_TOO_LARGE);
    }
}

static void
finish(pps_exchange_t *exchange)
{
    pps_http_conn_t *conn = exchange->conn;
    pps_buf_t fields = exchange->fields;
    pps_buf_t body = exchange->body;
    unsigned int status = exchange->status;
    int begun = exchange->begun;

    exchange->fields = (pps_buf_t)PPS_BUF_INIT;
    pps_held_release(&exchange->held);
    exchange->body = (pps_buf_t)PPS_BUF_INIT;
    if (pps_http_status_is_success(status)) {
        pps_answer_times_note_end(exchange);
        pps_exchange_evidence_count_end(exchange);
        pps_exchange_note_whole(exchange);
    }
    pps_decision_log_ended(exchange, status, "answered");
    pps_exchange_drop_attempt(exchange, pps_http_status_is_success(status)
                                            ? PPS_WORKER_SERVED
                                            : PPS_WORKER_FAILED);
    pps_exchange_free(exchange);
    if (begun) {
        pps_http_conn_end(conn);
    }
    else {
        pps_http_conn_respond(conn, status, pps_buf_text(&fields),
                              pps_buf_text(&body), body.size);
    }
    pps_buf_clear(&fields);
    pps_buf_clear(&body);
}

void
pps_exchange_on_reply_end(pps_exchange_t *exchange)
{
    if (exchange->attempt == PPS_ATTEMPT_NONE) {
        return;
    }
    exchange->is_whole = 1;
    if (pps_exchange_is_cut_off(exchange)) {
        pps_exchange_on_attempt_failed(exchange, PPS_CHANNEL_BROKEN);
        return;
    }
    if (exchange->attempt == PPS_ATTEMPT_STREAMING) {
        begin_answer(exchange);
    }
    finish(exchange);
}
