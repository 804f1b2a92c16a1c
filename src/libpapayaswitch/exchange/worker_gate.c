/** @file worker_gate.c @brief Asks all gates of a worker. */
#include "worker_gate.h"

#include "cold_gate.h"
#include "evacuation.h"
#include "home_gate.h"
#include "state_gates.h"
#include "worker_permit.h"
#include "worker_share.h"

static const pps_worker_gate_t *const gates[] = {
    &pps_gate_leaving, &pps_gate_home,    &pps_gate_evacuated,
    &pps_gate_full,    &pps_gate_paused,  &pps_gate_avoided,
    &pps_gate_limit,   &pps_gate_permits, &pps_gate_room,
    &pps_gate_cold,
};

#define GATE_COUNT (sizeof(gates) / sizeof(gates[0]))

/* Returns whether an answer counts more than another one. */
static int
is_stricter(const pps_gate_answer_t *answer, const pps_gate_answer_t *other)
{
    if (answer->state != other->state) {
        return answer->state > other->state;
    }
    return answer->opens_us > other->opens_us;
}

void
pps_worker_gates_check(pps_gate_answer_t *out,
                       const pps_dispatcher_t *dispatcher,
                       pps_pool_worker_t *worker,
                       const pps_exchange_t *exchange, unsigned int kinds)
{
    *out = (pps_gate_answer_t){.reason = ""};
    for (size_t i = 0; i < GATE_COUNT && out->state != PPS_GATE_NEVER; i++) {
        pps_gate_answer_t answer = {.reason = gates[i]->name};

        if ((gates[i]->kind & kinds) == 0) {
            continue;
        }
        gates[i]->check(&answer, dispatcher, worker, exchange);
        if (is_stricter(&answer, out)) {
            *out = answer;
        }
    }
}

int
pps_worker_has_share(const pps_dispatcher_t *dispatcher,
                     pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    pps_gate_answer_t answer;

    pps_worker_gates_check(&answer, dispatcher, worker, exchange,
                           PPS_GATES_OF_SHARES);
    return answer.state == PPS_GATE_OPEN;
}

void
pps_worker_gates_take(const pps_dispatcher_t *dispatcher,
                      pps_pool_worker_t *worker)
{
    for (size_t i = 0; i < GATE_COUNT; i++) {
        if (gates[i]->take != NULL) {
            gates[i]->take(dispatcher, worker);
        }
    }
}

unsigned int
pps_worker_gates_count_holders(const pps_dispatcher_t *dispatcher,
                               pps_pool_worker_t *worker)
{
    unsigned int least = 0;

    for (size_t i = 0; i < GATE_COUNT; i++) {
        pps_gate_answer_t answer = {.reason = gates[i]->name};
        unsigned int holders;

        if (gates[i]->count_holders == NULL) {
            continue;
        }
        gates[i]->check(&answer, dispatcher, worker, NULL);
        if (answer.state != PPS_GATE_OTHER_HOST) {
            continue;
        }
        holders = gates[i]->count_holders(dispatcher, worker);
        if (least == 0 || holders < least) {
            least = holders;
        }
    }
    return least;
}
