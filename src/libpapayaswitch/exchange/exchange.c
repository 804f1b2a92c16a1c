/** @file exchange.c @brief Admission and end of a request. */
#include "exchange.h"

#include "clock.h"
#include "crash_line.h"
#include "decision_log.h"
#include "exchange_hedge.h"
#include "exchange_poison.h"
#include "exchange_refusal.h"
#include "exchange_unplaced.h"
#include "host_stop.h"
#include "permit_size.h"
#include "poison/poison_key.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
#define REQUEST_DIGEST_SEED 5
#define TIME_LEFT_MAX_US (3600 * PPS_US_PER_S)
/** Fraction of a caller's timeout that a request may wait for a starting
 * host, and the longest such wait. */
#define START_WAIT_FRACTION 0.08
#define START_WAIT_MAX_US (2 * PPS_US_PER_S)
/** Number of exchanges above which requests don't wait for the start. */
#define START_EXCHANGES_MAX 400

int64_t
pps_exchange_time_left_us(const pps_exchange_t *exchange)
{
    int64_t time_left_us =
        exchange->deadline_us - exchange->dispatcher->reactor->now_us;

    return time_left_us < TIME_LEFT_MAX_US ? time_left_us : TIME_LEFT_MAX_US;
}

unsigned int
pps_exchange_rank(const pps_exchange_t *exchange)
{
    const pps_workspace_t *workspace = exchange->workspace;
    int rank = workspace != NULL && workspace->priority >= 0
                   ? workspace->priority
                   : exchange->route->priority;

    return rank > 0 ? (unsigned int)rank : 0;
}

int
pps_exchange_is_repeatable(const pps_exchange_t *exchange)
{
    switch (exchange->route->kind) {
    case PPS_CALL_IDEMPOTENT:
        return 1;
    case PPS_CALL_STREAM:
        return exchange->route->resumable;
    case PPS_CALL_ONCE:
        break;
    }
    return 0;
}

void
pps_exchange_discard_answer(pps_exchange_t *exchange)
{
    pps_held_release(&exchange->held);
    pps_buf_clear(&exchange->body);
    pps_event_split_reset(&exchange->events);
}

void
pps_exchange_free(pps_exchange_t *exchange)
{
    pps_exchange_end_trial(exchange);
    pps_exchange_discard_answer(exchange);
    pps_timers_cancel(&exchange->deadline_timer);
    pps_timers_cancel(&exchange->silence_timer);
    pps_exchange_hedge_free(exchange);
    cds_list_del(&exchange->node);
    cds_list_del(&exchange->probe_node);
    exchange->dispatcher->exchange_count--;
    pps_deployment_unref(exchange->deployment);
    pps_buf_clear(&exchange->fields);
    free(exchange);
}

void
pps_exchange_on_caller_gone(pps_exchange_t *exchange)
{
    pps_crash_line_set_request(exchange->call.id);
    if (exchange->route == NULL) {
        pps_decision_log_refused(exchange->call.id, 0, "caller_gone", 0);
        pps_exchange_free(exchange);
        return;
    }
    pps_decision_log_ended(exchange, 0, "caller_gone");
    if (exchange->attempt != PPS_ATTEMPT_NONE) {
        pps_exchange_drop_attempt(exchange, PPS_WORKER_ABANDONED);
    }
    pps_exchange_free(exchange);
}

static void
on_deadline(int64_t now_us, void *user)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    pps_exchange_refuse(exchange, STATUS_TIMEOUT, -1, "timeout");
}

static void
set_deadline(pps_exchange_t *exchange)
{
    int64_t limit_us = exchange->route->timeout_us;
    int64_t remaining_us = exchange->call.caller_timeout_us;

    if (limit_us == 0 || (remaining_us > 0 && remaining_us < limit_us)) {
        limit_us = remaining_us;
    }
    if (limit_us == 0) {
        exchange->deadline_us = INT64_MAX;
        return;
    }
    exchange->deadline_us = exchange->request->received_us + limit_us;
    pps_reactor_after(exchange->dispatcher->reactor, &exchange->deadline_timer,
                      exchange->deadline_us -
                          exchange->dispatcher->reactor->now_us,
                      on_deadline, exchange);
}

/* Returns 0, or the HTTP status to refuse the request with. */
static unsigned int
find_route_and_workspace(const pps_deployment_t *deployment,
                         const pps_call_t *call, const char *path,
                         const pps_route_t **route,
                         const pps_workspace_t **workspace)
{
    *route = pps_deployment_find_route(deployment, call->host, path);
    if (*route == NULL) {
        return STATUS_NOT_FOUND;
    }
    if (call->key != NULL) {
        *workspace = pps_deployment_find_workspace(deployment, call->key);
    }
    if (*workspace == NULL && deployment->requires_key &&
        !(*route)->anonymous) {
        return STATUS_UNAUTHORIZED;
    }
    return 0;
}

/* Starts with the largest model if only one attempt is allowed, because no
 * larger one could be asked later. */
static size_t
first_model(const pps_route_t *route)
{
    if (route->model_count == 0 || route->attempts_max >= 2) {
        return 0;
    }
    return route->model_count - 1;
}

static uint64_t
session_or_random_digest(const pps_exchange_t *exchange)
{
    return exchange->call.session_digest != 0
               ? exchange->call.session_digest
               : pps_rng_next(&exchange->dispatcher->rng);
}

/* Returns the key by which the same request is known when it comes again,
 * under another id. */
static uint64_t
request_key(const pps_exchange_t *exchange)
{
    const pps_http_request_t *request = exchange->request;
    const char *caller =
        exchange->workspace != NULL ? exchange->workspace->name : "";
    uint64_t digest =
        XXH64(request->method, strlen(request->method), REQUEST_DIGEST_SEED);

    digest = XXH64(exchange->call.host, strlen(exchange->call.host), digest);
    digest =
        XXH64(pps_buf_text(&request->target), request->target.size, digest);
    digest = XXH64(caller, strlen(caller), digest);
    digest = XXH64(exchange->call.parts,
                   exchange->call.part_count * sizeof(*exchange->call.parts),
                   digest);
    return pps_poison_key_of_request(
        XXH64(pps_buf_text(&request->body), request->body.size, digest));
}

static void
start_exchange(pps_exchange_t *exchange)
{
    const pps_route_t *route = exchange->route;
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    unsigned int index =
        pps_route_choose_upstream(route, session_or_random_digest(exchange));

    exchange->upstream = &exchange->deployment->upstreams[index];
    exchange->upstream_state =
        pps_dispatcher_upstream(dispatcher, exchange->upstream->name);
    exchange->request_key = request_key(exchange);
    exchange->version_digest = session_or_random_digest(exchange);
    exchange->model = first_model(route);
    exchange->last_event = exchange->call.last_event;
    exchange->has_last_event = exchange->call.has_last_event;
    set_deadline(exchange);
    if (exchange->upstream_state == NULL) {
        pps_exchange_refuse(exchange, STATUS_UNAVAILABLE, -1, "out_of_memory");
        return;
    }
    pps_permit_size_count_demand(exchange);
    pps_repeat_limit_count_request(&exchange->upstream_state->repeats,
                                   dispatcher->reactor->now_us);
    if (dispatcher->options.hedge_share > 0) {
        pps_exchange_hedge_count_request(exchange);
    }
    pps_decision_log_admitted(exchange);
    if (pps_exchange_refuse_homeless(exchange)) {
        return;
    }
    if (!pps_host_stop_leaves_time(exchange)) {
        pps_exchange_give_up(exchange, PPS_RETRY_AFTER_OTHER_HOST, "stopping");
        return;
    }
    pps_exchange_send(exchange);
}

static int64_t
start_retry_after_us(pps_dispatcher_t *dispatcher, const pps_call_t *call)
{
    const pps_retry_after_t retry = {
        .reason = PPS_RETRY_AFTER_STARTING,
        .time_left_us = call->caller_timeout_us,
        .spread = pps_rng_unit(&dispatcher->rng),
    };

    return pps_retry_after_compute(&retry);
}

static pps_exchange_t *
exchange_new(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
             const pps_http_request_t *request)
{
    pps_exchange_t *exchange = calloc(1, sizeof(*exchange));

    if (exchange == NULL) {
        return NULL;
    }
    exchange->dispatcher = dispatcher;
    exchange->conn = conn;
    exchange->request = request;
    exchange->connection = "";
    cds_list_add_tail(&exchange->node, &dispatcher->exchanges);
    CDS_INIT_LIST_HEAD(&exchange->probe_node);
    dispatcher->exchange_count++;
    pps_http_conn_attach(conn, exchange);
    return exchange;
}

static void
refuse_unrouted(pps_exchange_t *exchange, unsigned int status,
                int64_t retry_after_us, const char *reason)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_http_conn_t *conn = exchange->conn;
    int64_t revision =
        dispatcher->deployment != NULL ? dispatcher->deployment->revision : 0;

    pps_decision_log_refused(exchange->call.id, status, reason, revision);
    pps_exchange_free(exchange);
    pps_dispatcher_refuse(dispatcher, conn, status, retry_after_us);
}

static void
admit(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    unsigned int status;

    pps_crash_line_set_request(exchange->call.id);
    exchange->deployment = pps_deployment_ref(dispatcher->deployment);
    status = find_route_and_workspace(exchange->deployment, &exchange->call,
                                      pps_buf_text(&exchange->request->target),
                                      &exchange->route, &exchange->workspace);
    if (status != 0) {
        refuse_unrouted(exchange, status, -1, "not_allowed");
        return;
    }
    start_exchange(exchange);
}

static int
is_ready(const pps_dispatcher_t *dispatcher)
{
    return dispatcher->deployment != NULL &&
           pps_pool_count(dispatcher->pool) > 0;
}

static void
on_start_wait_over(int64_t now_us, void *user)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    if (exchange->dispatcher->deployment != NULL) {
        admit(exchange);
        return;
    }
    refuse_unrouted(
        exchange, STATUS_UNAVAILABLE,
        start_retry_after_us(exchange->dispatcher, &exchange->call),
        "no_deployment");
}

/* A starting host usually receives its deployment and workers within a short
 * time. Waiting for them avoids a refusal. */
static void
wait_for_start(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t wait_us = (int64_t)((double)exchange->call.caller_timeout_us *
                                START_WAIT_FRACTION);

    if (wait_us > START_WAIT_MAX_US) {
        wait_us = START_WAIT_MAX_US;
    }
    if (dispatcher->exchange_count > START_EXCHANGES_MAX) {
        wait_us = 0;
    }
    pps_reactor_after(dispatcher->reactor, &exchange->deadline_timer, wait_us,
                      on_start_wait_over, exchange);
}

void
pps_exchange_admit_waiting(pps_dispatcher_t *dispatcher)
{
    pps_exchange_t *exchange;
    pps_exchange_t *next;

    if (!is_ready(dispatcher)) {
        return;
    }
    cds_list_for_each_entry_safe (exchange, next, &dispatcher->exchanges,
                                  node) {
        if (exchange->route == NULL) {
            pps_timers_cancel(&exchange->deadline_timer);
            admit(exchange);
        }
    }
}

void
pps_exchange_begin(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                   const pps_http_request_t *request)
{
    pps_call_t call = {0};
    unsigned int status = dispatcher->caller->decode(&call, request);
    pps_exchange_t *exchange;

    pps_crash_line_set_request(call.id);
    if (status != 0) {
        pps_decision_log_refused(call.id, status, "malformed", 0);
        pps_dispatcher_refuse(dispatcher, conn, status, -1);
        return;
    }
    exchange = exchange_new(dispatcher, conn, request);
    if (exchange == NULL) {
        pps_decision_log_refused(call.id, STATUS_UNAVAILABLE, "out_of_memory",
                                 0);
        pps_dispatcher_refuse(dispatcher, conn, STATUS_UNAVAILABLE,
                              start_retry_after_us(dispatcher, &call));
        return;
    }
    exchange->call = call;
    if (is_ready(dispatcher)) {
        admit(exchange);
    }
    else {
        wait_for_start(exchange);
    }
}
