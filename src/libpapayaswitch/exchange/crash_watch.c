/** @file crash_watch.c @brief Probes workers whose answers broke off. */
#include "crash_watch.h"

#include "clock.h"
#include "decision_log.h"
#include "transport/connect_probe.h"

#include <stdlib.h>

/** Time to answer a probe. A longer silence says nothing of the worker. */
#define PROBE_TIMEOUT_US (200 * PPS_US_PER_MS)

/* The answers of one worker that broke off while it is probed. */
typedef struct pps_worker_break {
    struct cds_list_head node;
    pps_dispatcher_t *dispatcher;
    pps_worker_info_t worker;
    uint64_t worker_digest;
    unsigned int answers;
} worker_break_t;

static worker_break_t *
find_break(const pps_dispatcher_t *dispatcher, uint64_t worker_digest,
           int64_t start_ms)
{
    worker_break_t *found;

    cds_list_for_each_entry (found, &dispatcher->breaks, node) {
        if (found->worker_digest == worker_digest &&
            found->worker.start_ms == start_ms) {
            return found;
        }
    }
    return NULL;
}

static void
on_probed(void *user, pps_probe_result_t result)
{
    worker_break_t *found = user;

    pps_decision_log_worker_probed(&found->worker, result, found->answers);
    cds_list_del(&found->node);
    free(found);
}

static worker_break_t *
begin_break(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    worker_break_t *begun = calloc(1, sizeof(*begun));

    if (begun == NULL) {
        return NULL;
    }
    begun->dispatcher = dispatcher;
    begun->worker = exchange->worker->info;
    begun->worker.start_ms = exchange->worker_start_ms;
    begun->worker_digest = exchange->worker->digest;
    if (pps_connect_probe_start(dispatcher->reactor, begun->worker.address,
                                PROBE_TIMEOUT_US, on_probed, begun) != 0) {
        free(begun);
        return NULL;
    }
    cds_list_add_tail(&begun->node, &dispatcher->breaks);
    return begun;
}

void
pps_crash_watch_note_break(pps_exchange_t *exchange)
{
    worker_break_t *found =
        find_break(exchange->dispatcher, exchange->worker->digest,
                   exchange->worker_start_ms);

    pps_decision_log_broken(exchange);
    if (found == NULL) {
        found = begin_break(exchange);
    }
    if (found == NULL) {
        pps_decision_log_worker_probed(&exchange->worker->info,
                                       PPS_PROBE_UNANSWERED, 0);
        return;
    }
    found->answers++;
}
