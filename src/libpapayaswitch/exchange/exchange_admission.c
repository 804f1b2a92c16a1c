/** @file exchange_admission.c @brief Decides which requests are served. */
#include "exchange.h"

#include "clock.h"
#include "counters.h"
#include "crash_line.h"
#include "decision_log.h"
#include "exchange_refusal.h"

#include <stdio.h>
#include <stdlib.h>

#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
/** Fraction of a caller's timeout that a request may wait for a starting
 * host, and the longest such wait. */
#define START_WAIT_FRACTION 0.08
#define START_WAIT_MAX_US (2 * PPS_US_PER_S)
/** Number of exchanges above which requests don't wait for the start. */
#define START_EXCHANGES_MAX 400

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

/* Finds the route and the workspace. Returns 0 if the request was refused. */
static int
resolve(pps_exchange_t *exchange)
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
        return 0;
    }
    return 1;
}

static void
admit(pps_exchange_t *exchange)
{
    if (resolve(exchange)) {
        pps_exchange_start(exchange);
    }
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

/* Returns NULL if the request was refused. */
static pps_exchange_t *
receive(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
        const pps_http_request_t *request)
{
    pps_call_t call = {0};
    unsigned int status = dispatcher->caller->decode(&call, request);
    pps_exchange_t *exchange;

    pps_crash_line_set_request(call.id);
    if (status != 0) {
        pps_decision_log_refused(call.id, status, "malformed", 0);
        pps_dispatcher_refuse(dispatcher, conn, status, -1);
        return NULL;
    }
    exchange = exchange_new(dispatcher, conn, request);
    if (exchange == NULL) {
        pps_decision_log_refused(call.id, STATUS_UNAVAILABLE, "out_of_memory",
                                 0);
        pps_dispatcher_refuse(dispatcher, conn, STATUS_UNAVAILABLE,
                              start_retry_after_us(dispatcher, &call));
        return NULL;
    }
    exchange->call = call;
    return exchange;
}

void
pps_exchange_begin(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                   const pps_http_request_t *request)
{
    pps_exchange_t *exchange = receive(dispatcher, conn, request);

    if (exchange == NULL) {
        return;
    }
    if (is_ready(dispatcher)) {
        admit(exchange);
    }
    else {
        wait_for_start(exchange);
    }
}

static void
fill_owner(pps_body_owner_t *out, const pps_exchange_t *exchange)
{
    const pps_workspace_t *workspace = exchange->workspace;

    out->id = exchange->call.id;
    if (workspace != NULL) {
        snprintf(out->name, sizeof(out->name), "%s", workspace->name);
    }
    else {
        pps_http_conn_peer_address(out->name, sizeof(out->name),
                                   exchange->conn);
    }
}

/* Lets the body come when there is room, but not after the deadline. */
static void
await_body(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_http_conn_t *conn = exchange->conn;
    pps_body_owner_t owner;

    fill_owner(&owner, exchange);
    if (exchange->route != NULL) {
        pps_http_conn_limit_reading(conn, pps_exchange_time_left_us(exchange));
    }
    pps_http_conn_attach(conn, NULL);
    pps_exchange_free(exchange);
    pps_body_gate_enter(dispatcher, conn, &owner);
}

void
pps_exchange_check_head(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                        const pps_http_request_t *request)
{
    pps_exchange_t *exchange = receive(dispatcher, conn, request);

    if (exchange != NULL &&
        (!is_ready(dispatcher) ||
         (resolve(exchange) && !pps_exchange_refuse_at_head(exchange)))) {
        await_body(exchange);
        return;
    }
    pps_counter_add(PPS_COUNTER_ENTRY_HEAD_REFUSALS, 1);
}
