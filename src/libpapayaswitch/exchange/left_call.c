/** @file left_call.c @brief Calls given up that may go on at their worker. */
#include "left_call.h"

#include "clock.h"
#include "worker_permit.h"

#include <stdlib.h>

/** Multiple of the usual time of long answers up to which a call counts. */
#define USUAL_TIME_FACTOR 1.25

typedef struct {
    struct cds_list_head node; /* of the dispatcher */
    pps_dispatcher_t *dispatcher;
    pps_pool_worker_t *worker;
    unsigned int slots;
    int64_t start_ms; /* of the worker */
    pps_timer_t timer;
} left_call_t;

static void
end_at_pool(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
            unsigned int slots)
{
    pps_pool_return_slots(worker, slots);
    pps_pool_end_call(dispatcher->pool, worker, PPS_WORKER_ABANDONED,
                      dispatcher->reactor->now_us);
}

static void
end(left_call_t *call)
{
    pps_timers_cancel(&call->timer);
    cds_list_del(&call->node);
    end_at_pool(call->dispatcher, call->worker, call->slots);
    free(call);
}

static void
on_time(int64_t now_us, void *user)
{
    end(user);
}

/* Returns how long such a request usually goes on. */
static int64_t
time_left_us(const pps_dispatcher_t *dispatcher,
             const pps_pool_worker_t *worker, int64_t begun_us)
{
    const pps_service_time_t time =
        pps_worker_permit_service_time(dispatcher, worker);
    double usual_us = (double)time.answer_us * USUAL_TIME_FACTOR;

    return begun_us + (int64_t)usual_us - dispatcher->reactor->now_us;
}

void
pps_left_call_keep(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                   unsigned int slots, int64_t begun_us)
{
    int64_t left_us = time_left_us(dispatcher, worker, begun_us);
    left_call_t *call = left_us > 0 ? calloc(1, sizeof(*call)) : NULL;

    if (call == NULL) {
        end_at_pool(dispatcher, worker, slots);
        return;
    }
    call->dispatcher = dispatcher;
    call->worker = worker;
    call->slots = slots;
    call->start_ms = worker->info.start_ms;
    cds_list_add_tail(&call->node, &dispatcher->left_calls);
    pps_reactor_after(dispatcher->reactor, &call->timer, left_us, on_time,
                      call);
}

/* Returns whether the worker may be at work on the attempt after this host has
 * dropped it. A call with another host's permit is kept by that host. */
static int
may_go_on(const pps_exchange_t *exchange, pps_worker_outcome_t outcome)
{
    int is_dropped = outcome == PPS_WORKER_ABANDONED ||
                     outcome == PPS_WORKER_FAILED ||
                     outcome == PPS_WORKER_SERVED;

    return is_dropped && exchange->is_sent && !exchange->is_whole &&
           !exchange->is_borrowed &&
           pps_worker_permit_is_needed(exchange->dispatcher, exchange->worker,
                                       exchange);
}

void
pps_left_call_end_attempt(const pps_exchange_t *exchange,
                          pps_worker_outcome_t outcome)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t now_us = dispatcher->reactor->now_us;

    if (!may_go_on(exchange, outcome)) {
        if (!exchange->is_borrowed) {
            pps_pool_return_slots(exchange->worker, exchange->size);
        }
        pps_pool_end_call(dispatcher->pool, exchange->worker, outcome, now_us);
        return;
    }
    pps_pool_note_outcome(exchange->worker, outcome, now_us);
    pps_left_call_keep(dispatcher, exchange->worker, exchange->size,
                       exchange->sent_us);
}

void
pps_left_calls_sweep(pps_dispatcher_t *dispatcher)
{
    left_call_t *call;
    left_call_t *next;

    cds_list_for_each_entry_safe (call, next, &dispatcher->left_calls, node) {
        if (call->worker->info.start_ms != call->start_ms) {
            end(call);
        }
    }
}
