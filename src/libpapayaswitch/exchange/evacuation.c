/** @file evacuation.c @brief Begin and end of evacuations, and their gate. */
#include "evacuation.h"

#include "decision_log.h"

#include <string.h>

static void
check_evacuated(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
                pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (pps_evacuated_domains_find(&dispatcher->evacuated,
                                   worker->info.failure_domain) != NULL) {
        out->state = PPS_GATE_NEVER;
    }
}

const pps_worker_gate_t pps_gate_evacuated = {"evacuated", PPS_GATE_OF_WORKER,
                                              check_evacuated, NULL, NULL};

static int
is_in_domain(const pps_pool_worker_t *worker, const char *failure_domain)
{
    return worker->listed &&
           strcmp(worker->info.failure_domain, failure_domain) == 0;
}

static size_t
count_workers(const pps_dispatcher_t *dispatcher, const char *failure_domain)
{
    const pps_pool_worker_t *worker;
    size_t count = 0;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        count += is_in_domain(worker, failure_domain) != 0;
    }
    return count;
}

int
pps_evacuation_begin(pps_dispatcher_t *dispatcher, const char *failure_domain,
                     const char *order)
{
    int result = pps_evacuated_domains_add(
        &dispatcher->evacuated, failure_domain, dispatcher->reactor->now_us);

    if (result == 1) {
        pps_decision_log_evacuated(failure_domain, order,
                                   count_workers(dispatcher, failure_domain));
    }
    return result;
}

static void
report_workers_back(pps_dispatcher_t *dispatcher, const char *failure_domain)
{
    pps_pool_worker_t *worker;

    if (dispatcher->worker_back == NULL) {
        return;
    }
    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (is_in_domain(worker, failure_domain)) {
            dispatcher->worker_back(dispatcher, worker);
        }
    }
}

int
pps_evacuation_end(pps_dispatcher_t *dispatcher, const char *failure_domain)
{
    const pps_evacuated_domain_t *domain =
        pps_evacuated_domains_find(&dispatcher->evacuated, failure_domain);

    if (domain == NULL) {
        return 0;
    }
    pps_decision_log_evacuation_ended(
        failure_domain, dispatcher->reactor->now_us - domain->since_us,
        count_workers(dispatcher, failure_domain));
    report_workers_back(dispatcher, failure_domain);
    return pps_evacuated_domains_remove(&dispatcher->evacuated,
                                        failure_domain);
}
