/** @file exchange_link.c @brief Connection of an attempt to its worker. */
#include "exchange_link.h"

#include "home_gate.h"
#include "memory/window.h"
#include "papayaswitch/errors.h"
#include "path_watch.h"
#include "permit_size.h"
#include "worker_permit.h"

/** Hosts that are asked to send one request with their share. */
#define BORROW_TRIES_MAX 8
/** Longest wait for an acknowledgement of bytes sent to a worker. */
#define USER_TIMEOUT_MS 2500

void
pps_exchange_close_link(pps_exchange_t *exchange)
{
    if (exchange->channel != NULL) {
        pps_http_channel_close(exchange->channel);
        exchange->channel = NULL;
    }
    if (exchange->relay_call != NULL) {
        pps_relay_call_close(exchange->relay_call);
        exchange->relay_call = NULL;
    }
    if (exchange->neighbour != NULL) {
        exchange->neighbour->calls--;
        exchange->neighbour = NULL;
    }
}

void
pps_exchange_pause_link(pps_exchange_t *exchange)
{
    if (exchange->channel != NULL) {
        pps_http_channel_pause(exchange->channel);
    }
    if (exchange->relay_call != NULL) {
        pps_relay_call_pause(exchange->relay_call);
    }
}

void
pps_exchange_resume_link(pps_exchange_t *exchange)
{
    if (exchange->channel != NULL) {
        pps_http_channel_resume(exchange->channel);
    }
    if (exchange->relay_call != NULL) {
        pps_relay_call_resume(exchange->relay_call);
    }
}

static int
send_directly(pps_exchange_t *exchange, const pps_buf_t *text,
              const pps_channel_ops_t *ops)
{
    const pps_channel_options_t options = {
        .connect_us = PPS_EXCHANGE_CONNECT_TIMEOUT_US,
        .user_timeout_ms = USER_TIMEOUT_MS,
        .local_address = exchange->dispatcher->options.local_address,
        .read_bytes = PPS_WINDOW_READ_BYTES,
    };
    int error = pps_http_channel_new(
        &exchange->channel, exchange->dispatcher->reactor,
        exchange->worker->info.address, &options, NULL, NULL);

    return error != 0 ? error
                      : pps_http_channel_call(exchange->channel, text->data,
                                              text->size, ops, exchange);
}

int
pps_exchange_open_link(pps_exchange_t *exchange, const pps_buf_t *text,
                       const pps_channel_ops_t *ops)
{
    pps_relay_route_t route;

    if (exchange->neighbour == NULL && exchange->is_borrowed) {
        return PPS_ENOTFOUND;
    }
    if (exchange->neighbour == NULL) {
        return send_directly(exchange, text, ops);
    }
    route = (pps_relay_route_t){
        .neighbour = exchange->neighbour->address,
        .local_address = exchange->dispatcher->options.local_address,
        .worker = exchange->worker->digest,
        .slots = exchange->is_borrowed ? exchange->size : 0,
    };
    return pps_relay_call_new(&exchange->relay_call,
                              exchange->dispatcher->reactor, &route,
                              text->data, text->size, ops, exchange);
}

int
pps_exchange_may_borrow(const pps_exchange_t *exchange)
{
    const pps_neighbour_filter_t filter = pps_home_gate_filter(exchange);
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    return exchange->borrow_tries < BORROW_TRIES_MAX &&
           (exchange->borrow_tries == 0 ||
            pps_borrow_budget_is_open(&dispatcher->borrows)) &&
           pps_neighbours_has_any(&dispatcher->neighbours, &filter,
                                  dispatcher->reactor->now_us);
}

/* Returns which neighbours may take the request, and prefers those that have a
 * share of the worker. */
static pps_neighbour_filter_t
holder_filter(const pps_exchange_t *exchange)
{
    pps_pool_worker_t *worker = exchange->worker;
    pps_neighbour_filter_t filter = pps_home_gate_filter(exchange);

    filter.first =
        pps_worker_gates_count_holders(exchange->dispatcher, worker);
    filter.key = worker->digest;
    filter.worker_domain = worker->info.failure_domain;
    return filter;
}

static pps_permit_use_t
permit_use(const pps_exchange_t *exchange)
{
    if (!pps_worker_permit_is_needed(exchange->dispatcher, exchange->worker,
                                     exchange)) {
        return PPS_PERMIT_NOT_NEEDED;
    }
    return exchange->is_borrowed ? PPS_PERMIT_BORROWED : PPS_PERMIT_OWN;
}

void
pps_exchange_choose_neighbour(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_neighbour_filter_t filter;

    exchange->is_borrowed =
        !pps_worker_has_share(dispatcher, exchange->worker, exchange);
    if (!exchange->is_borrowed &&
        !pps_path_watch_is_lost(dispatcher, exchange->worker)) {
        return;
    }
    filter = exchange->is_borrowed ? holder_filter(exchange)
                                   : pps_home_gate_filter(exchange);
    exchange->neighbour =
        pps_neighbours_choose(&dispatcher->neighbours, &filter,
                              &dispatcher->rng, dispatcher->reactor->now_us);
    if (exchange->neighbour != NULL) {
        exchange->neighbour->calls++;
    }
}

static void
take_borrow_try(pps_exchange_t *exchange)
{
    pps_borrow_budget_t *budget = &exchange->dispatcher->borrows;

    if (exchange->borrow_tries++ == 0) {
        pps_borrow_budget_add(budget);
    }
    pps_borrow_budget_take(budget);
}

void
pps_exchange_begin_call(pps_exchange_t *exchange)
{
    pps_pool_worker_t *worker = exchange->worker;

    exchange->permit_use = permit_use(exchange);
    exchange->size = exchange->permit_use == PPS_PERMIT_NOT_NEEDED
                         ? 1
                         : pps_permit_size_of(exchange, worker);
    exchange->upstream_state->worker_slots = worker->slots;
    pps_pool_begin_call(worker);
    if (exchange->is_borrowed) {
        worker->borrowed++;
        take_borrow_try(exchange);
        return;
    }
    pps_pool_take_slots(worker, exchange->size);
    pps_worker_gates_take(exchange->dispatcher, worker);
}
