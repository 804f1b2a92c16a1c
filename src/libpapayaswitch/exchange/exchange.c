/** @file exchange.c @brief Start and end of a request. */
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

#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
#define REQUEST_DIGEST_SEED 5
#define TIME_LEFT_MAX_US (3600 * PPS_US_PER_S)

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

/* Chooses the upstream and sets the deadline. Returns 0 if the request was
 * refused for lack of memory. */
static int
choose_upstream(pps_exchange_t *exchange)
{
    unsigned int index = pps_route_choose_upstream(
        exchange->route, session_or_random_digest(exchange));

    exchange->upstream = &exchange->deployment->upstreams[index];
    exchange->upstream_state = pps_dispatcher_upstream(
        exchange->dispatcher, exchange->upstream->name);
    set_deadline(exchange);
    if (exchange->upstream_state == NULL) {
        pps_exchange_refuse(exchange, STATUS_UNAVAILABLE, -1, "out_of_memory");
        return 0;
    }
    return 1;
}

/* Refuses what needs no look at the workers. Returns whether it did. */
static int
refuse_unsent(pps_exchange_t *exchange)
{
    if (pps_exchange_refuse_homeless(exchange)) {
        return 1;
    }
    if (!pps_host_stop_leaves_time(exchange)) {
        pps_exchange_give_up(exchange, PPS_RETRY_AFTER_OTHER_HOST, "stopping");
        return 1;
    }
    return 0;
}

int
pps_exchange_refuse_at_head(pps_exchange_t *exchange)
{
    return !choose_upstream(exchange) || refuse_unsent(exchange);
}

void
pps_exchange_start(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    if (!choose_upstream(exchange)) {
        return;
    }
    exchange->request_key = request_key(exchange);
    exchange->version_digest = session_or_random_digest(exchange);
    exchange->model = first_model(exchange->route);
    exchange->last_event = exchange->call.last_event;
    exchange->has_last_event = exchange->call.has_last_event;
    pps_permit_size_count_demand(exchange);
    pps_repeat_limit_count_request(&exchange->upstream_state->repeats,
                                   dispatcher->reactor->now_us);
    if (dispatcher->options.hedge_share > 0) {
        pps_exchange_hedge_count_request(exchange);
    }
    pps_decision_log_admitted(exchange);
    if (!refuse_unsent(exchange)) {
        pps_exchange_send(exchange);
    }
}
