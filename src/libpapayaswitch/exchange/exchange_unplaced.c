/** @file exchange_unplaced.c @brief Reasons why a request has no worker. */
#include "exchange_unplaced.h"

#include "clock.h"
#include "decision_log.h"
#include "evacuation.h"
#include "exchange_worker.h"
#include "home_gate.h"

#include <string.h>

#define STATUS_UNAVAILABLE 503
/** Retry-After of requests without a common region: only a change of the
 * configuration helps, which is in force within seconds. */
#define NO_HOME_RETRY_US (1 * PPS_US_PER_S)
#define REASON_NO_WORKER "no_worker"

int
pps_exchange_refuse_homeless(pps_exchange_t *exchange)
{
    if (!pps_home_gate_is_unsatisfiable(exchange)) {
        return 0;
    }
    pps_decision_log_no_home();
    pps_exchange_refuse(exchange, STATUS_UNAVAILABLE, NO_HOME_RETRY_US,
                        pps_gate_home.name);
    return 1;
}

/* Returns the name of the gate that keeps all workers from the request, or
 * REASON_NO_WORKER. A worker in the request's homes counts more than those
 * outside, and leaving ones don't count. */
static const char *
find_reason(const pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    const char *reason = REASON_NO_WORKER;
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        pps_gate_answer_t answer;

        if (!pps_exchange_is_match(exchange, worker)) {
            continue;
        }
        pps_worker_gates_check(&answer, dispatcher, worker, exchange,
                               PPS_GATE_OF_WORKER);
        if (answer.state != PPS_GATE_NEVER) {
            return REASON_NO_WORKER;
        }
        if (strcmp(answer.reason, pps_gate_evacuated.name) == 0 ||
            (strcmp(answer.reason, pps_gate_home.name) == 0 &&
             strcmp(reason, REASON_NO_WORKER) == 0)) {
            reason = answer.reason;
        }
    }
    return reason;
}

void
pps_exchange_refuse_unplaced(pps_exchange_t *exchange)
{
    const char *reason = find_reason(exchange);

    if (strcmp(reason, pps_gate_home.name) == 0) {
        pps_decision_log_no_home();
    }
    if (strcmp(reason, pps_gate_evacuated.name) == 0 && exchange->runs == 0) {
        pps_decision_log_all_evacuated();
        pps_exchange_refuse(exchange, STATUS_UNAVAILABLE,
                            PPS_EVACUATED_RETRY_US, reason);
        return;
    }
    pps_exchange_give_up(exchange,
                         exchange->sends > 0 ? PPS_RETRY_AFTER_FULL
                                             : PPS_RETRY_AFTER_NO_WORKER,
                         reason);
}
