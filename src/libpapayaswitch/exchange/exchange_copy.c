/** @file exchange_copy.c @brief Connection of a copy until it wins or ends. */
#include "exchange_copy.h"

#include "cold_gate.h"
#include "crash_line.h"
#include "crash_watch.h"
#include "decision_log.h"
#include "exchange_attempt.h"
#include "exchange_held.h"
#include "exchange_notes.h"
#include "exchange_reply.h"
#include "hedge_log.h"
#include "papayaswitch/errors.h"
#include "path_watch.h"

#include <stdlib.h>
#include <string.h>

/** Largest body that is buffered for a copy. */
#define BODY_BYTES_MAX (1U << 20)

#define SWAP(type, first, second)                                             \
    do {                                                                      \
        type swapped = (first);                                               \
        (first) = (second);                                                   \
        (second) = swapped;                                                   \
    } while (0)

void
pps_exchange_copy_swap(pps_exchange_t *exchange)
{
    pps_copy_fields_t *copy = &exchange->hedge->fields;

    SWAP(pps_http_channel_t *, exchange->channel, copy->channel);
    SWAP(pps_relay_call_t *, exchange->relay_call, copy->relay_call);
    SWAP(pps_neighbour_t *, exchange->neighbour, copy->neighbour);
    SWAP(pps_pool_worker_t *, exchange->worker, copy->worker);
    SWAP(int, exchange->is_borrowed, copy->is_borrowed);
    SWAP(unsigned int, exchange->size, copy->size);
    SWAP(pps_permit_use_t, exchange->permit_use, copy->permit_use);
    SWAP(int64_t, exchange->worker_start_ms, copy->worker_start_ms);
    SWAP(int, exchange->on_target, copy->on_target);
    SWAP(double, exchange->worker_load, copy->worker_load);
    SWAP(pps_evidence_state_t, exchange->counted, copy->counted);
    SWAP(int64_t, exchange->sent_us, copy->sent_us);
    SWAP(int64_t, exchange->answer_us, copy->answer_us);
    SWAP(int, exchange->went_on, copy->went_on);
    SWAP(int64_t, exchange->last_received_us, copy->last_received_us);
    SWAP(double, exchange->work, copy->work);
    SWAP(double, exchange->backlog, copy->backlog);
}

/* Copies the head of the answer, which is needed if the copy wins.
 * @return 0 or a negative error */
static int
keep_reply(pps_exchange_hedge_t *hedge, const pps_http_reply_t *reply)
{
    pps_http_reply_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        return PPS_ENOMEM;
    }
    *copy = *reply;
    copy->headers.text = (pps_buf_t)PPS_BUF_INIT;
    hedge->reply = copy;
    return pps_buf_append(&copy->headers.text, reply->headers.text.data,
                          reply->headers.text.size);
}

static void
free_reply(pps_http_reply_t *reply)
{
    if (reply != NULL) {
        pps_headers_clear(&reply->headers);
        free(reply);
    }
}

/* Forgets what has arrived of the answer. Returns the buffered body. */
static pps_buf_t
take_answer(pps_exchange_t *exchange)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;
    pps_buf_t body = hedge->body;

    pps_held_release(&hedge->held);
    hedge->body = (pps_buf_t)PPS_BUF_INIT;
    pps_event_split_reset(&hedge->events);
    hedge->reply = NULL;
    hedge->is_sent = 0;
    return body;
}

void
pps_exchange_copy_drop(pps_exchange_t *exchange, pps_worker_outcome_t outcome)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_exchange_hedge_t *hedge = exchange->hedge;
    pps_buf_t body;

    if (!hedge->is_sent) {
        return;
    }
    pps_hedge_log_cancelled(exchange, hedge->fields.worker);
    if (hedge->fields.channel != NULL) {
        pps_http_channel_close(hedge->fields.channel);
    }
    pps_pool_return_slots(hedge->fields.worker, hedge->fields.size);
    pps_pool_end_call(dispatcher->pool, hedge->fields.worker, outcome,
                      dispatcher->reactor->now_us);
    hedge->fields = (pps_copy_fields_t){0};
    free_reply(hedge->reply);
    body = take_answer(exchange);
    pps_buf_clear(&body);
}

/* Begins the attempt that the copy has become. */
static void
replace_attempt(pps_exchange_t *exchange)
{
    pps_exchange_drop_attempt(exchange, PPS_WORKER_ABANDONED);
    exchange->has_failed_before |= exchange->counted == PPS_EVIDENCE_BAD;
    pps_exchange_copy_swap(exchange);
    exchange->hedge->fields = (pps_copy_fields_t){0};
    exchange->attempt = PPS_ATTEMPT_SENT;
    exchange->connection = "";
    exchange->answer_us = 0;
    exchange->went_on = 0;
    exchange->has_event = 0;
    pps_exchange_record_prefix(exchange);
}

void
pps_exchange_copy_promote(pps_exchange_t *exchange, int is_whole)
{
    pps_http_reply_t *reply = exchange->hedge->reply;
    pps_buf_t body = take_answer(exchange);
    int is_over = 0;

    replace_attempt(exchange);
    if (reply == NULL) {
        pps_exchange_restart_silence_timer(exchange);
        return;
    }
    exchange->hedge->is_over = &is_over;
    pps_exchange_on_reply_head(exchange, reply);
    if (!is_over && body.size > 0) {
        pps_exchange_on_reply_body(exchange, body.data, body.size);
    }
    if (!is_over && is_whole) {
        pps_exchange_on_reply_end(exchange);
    }
    if (!is_over) {
        exchange->hedge->is_over = NULL;
    }
    free_reply(reply);
    pps_buf_clear(&body);
}

/* Notes what an answer says about its worker, whoever wins. */
static void
note_worker(pps_exchange_t *exchange, const pps_worker_reply_t *decoded)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (decoded->leaving) {
        pps_dispatcher_note_leaving(dispatcher, exchange->worker,
                                    exchange->worker_start_ms);
    }
    if (decoded->has_load && !decoded->other_worker) {
        pps_pool_record_load(exchange->worker, decoded->running,
                             decoded->waiting, decoded->slots,
                             dispatcher->reactor->now_us);
    }
    pps_exchange_note_gates(exchange, decoded);
}

static void
drop_unusable(pps_exchange_t *exchange, const pps_worker_reply_t *decoded)
{
    if (decoded->not_run) {
        exchange->runs--;
        pps_exchange_copy_drop(exchange, decoded->other_worker
                                             ? PPS_WORKER_MOVED
                                             : PPS_WORKER_FULL);
        return;
    }
    pps_exchange_copy_drop(exchange, PPS_WORKER_FAILED);
}

/* Returns whether the answer may be used. One of a call without a length is
 * not: whether it is whole shows only after it has replaced the other. */
static int
is_usable(const pps_exchange_t *exchange, const pps_http_reply_t *reply,
          const pps_worker_reply_t *decoded)
{
    return pps_http_status_is_success(reply->status) && decoded->sealed &&
           decoded->id != NULL && !decoded->not_run &&
           (exchange->route->kind == PPS_CALL_STREAM || !decoded->is_unframed);
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    pps_exchange_t *exchange = user;
    pps_exchange_hedge_t *hedge = exchange->hedge;
    pps_worker_reply_t decoded;

    if (!hedge->is_sent) {
        return pps_exchange_channel_ops.on_head(user, reply);
    }
    pps_crash_line_set_request(exchange->call.id);
    exchange->dispatcher->worker->decode(&decoded, reply);
    if (decoded.id != NULL && strcmp(decoded.id, exchange->call.id) != 0) {
        return 1;
    }
    pps_exchange_copy_swap(exchange);
    exchange->answer_us = exchange->dispatcher->reactor->now_us;
    exchange->last_received_us = exchange->answer_us;
    pps_path_watch_note_reached(exchange->dispatcher, exchange->worker,
                                exchange->sent_us);
    note_worker(exchange, &decoded);
    pps_exchange_copy_swap(exchange);
    if (!is_usable(exchange, reply, &decoded) ||
        keep_reply(hedge, reply) != 0) {
        drop_unusable(exchange, &decoded);
    }
    return 0;
}

static void
on_event(void *user, const char *text, size_t size, int64_t id)
{
    pps_exchange_hedge_t *hedge = user;

    hedge->has_event = 1;
}

static int
buffer_body(pps_exchange_t *exchange, const char *data, size_t size)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;
    int error = PPS_OK;

    if (hedge->body.size + size > BODY_BYTES_MAX ||
        pps_buf_append(&hedge->body, data, size) != 0) {
        return PPS_ELIMIT;
    }
    if (exchange->route->kind == PPS_CALL_STREAM) {
        error =
            pps_event_split_feed(&hedge->events, data, size, on_event, hedge);
    }
    return error != 0 ? error : pps_exchange_hold_copy(exchange);
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_exchange_t *exchange = user;

    if (!exchange->hedge->is_sent) {
        pps_exchange_channel_ops.on_body(user, data, size);
        return;
    }
    pps_crash_line_set_request(exchange->call.id);
    exchange->hedge->fields.last_received_us =
        exchange->dispatcher->reactor->now_us;
    if (buffer_body(exchange, data, size) != 0) {
        pps_exchange_copy_drop(exchange, PPS_WORKER_ABANDONED);
    }
    else if (exchange->hedge->has_event) {
        pps_hedge_log_won(exchange, exchange->hedge->fields.worker);
        pps_exchange_copy_promote(exchange, 0);
    }
}

static void
on_end(void *user)
{
    pps_exchange_t *exchange = user;

    if (!exchange->hedge->is_sent) {
        pps_exchange_channel_ops.on_end(user);
        return;
    }
    pps_crash_line_set_request(exchange->call.id);
    if (exchange->route->kind == PPS_CALL_STREAM) {
        pps_exchange_copy_drop(exchange, PPS_WORKER_FAILED);
        return;
    }
    pps_hedge_log_won(exchange, exchange->hedge->fields.worker);
    pps_exchange_copy_promote(exchange, 1);
}

/* Lets the worker be probed: it may have ended under this request. */
static void
note_break(pps_exchange_t *exchange)
{
    pps_exchange_copy_swap(exchange);
    pps_crash_watch_note_silence(exchange);
    pps_exchange_copy_swap(exchange);
}

static void
on_failure(void *user, pps_channel_failure_t failure)
{
    pps_exchange_t *exchange = user;
    pps_exchange_hedge_t *hedge = exchange->hedge;

    if (!hedge->is_sent) {
        pps_exchange_channel_ops.on_fail(user, failure);
        return;
    }
    pps_crash_line_set_request(exchange->call.id);
    hedge->fields.channel = NULL;
    if (failure == PPS_CHANNEL_REFUSED) {
        pps_cold_gate_note_refused(exchange->dispatcher, hedge->fields.worker);
    }
    if (pps_channel_is_unsent(failure)) {
        exchange->runs--;
        pps_exchange_copy_drop(exchange, PPS_WORKER_UNREACHABLE);
        return;
    }
    if (failure == PPS_CHANNEL_BROKEN) {
        note_break(exchange);
    }
    pps_exchange_copy_drop(exchange, PPS_WORKER_FAILED);
}

const pps_channel_ops_t pps_exchange_copy_ops = {on_head, on_body, on_end,
                                                 on_failure};
