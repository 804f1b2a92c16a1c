/** @file state_gates.c @brief Gates of a worker's own state. */
#include "state_gates.h"

static void
check_leaving(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
              pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (pps_pool_worker_is_leaving(worker)) {
        out->state = PPS_GATE_NEVER;
    }
}

/* When a slot becomes free is unknown: the worker is tried again after a short
 * time. */
static void
check_full(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
           pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (exchange != NULL &&
        worker->full_until_us > dispatcher->reactor->now_us) {
        out->state = PPS_GATE_CLOSED;
    }
}

static void
check_paused(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
             pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (worker->paused_until_us > dispatcher->reactor->now_us) {
        out->state = PPS_GATE_CLOSED;
        out->opens_us = worker->paused_until_us;
    }
}

static void
check_avoided(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
              pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (exchange != NULL &&
        worker->avoided_until_us > dispatcher->reactor->now_us) {
        out->state = PPS_GATE_AVOIDED;
    }
}

const pps_worker_gate_t pps_gate_leaving = {"leaving", PPS_GATE_OF_WORKER,
                                            check_leaving, NULL, NULL};
const pps_worker_gate_t pps_gate_full = {"full", PPS_GATE_OF_WORKER,
                                         check_full, NULL, NULL};
const pps_worker_gate_t pps_gate_paused = {"paused", PPS_GATE_OF_WORKER,
                                           check_paused, NULL, NULL};
const pps_worker_gate_t pps_gate_avoided = {"avoided", PPS_GATE_OF_WORKER,
                                            check_avoided, NULL, NULL};
