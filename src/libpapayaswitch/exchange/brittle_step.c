/** @file brittle_step.c @brief Periodic work for brittle workers. */
#include "brittle_step.h"

#include "clock.h"
#include "host_counts.h"
#include "left_call.h"
#include "worker_permit.h"

/** Time between repetitions to hosts of older builds, which forget a rejection
 * after 3 s. */
#define REPEAT_PERIOD_US (1200 * PPS_US_PER_MS)
/** Time between counts of the hosts that share brittle workers. */
#define STEP_PERIOD_US (500 * PPS_US_PER_MS)

/* Returns whether requests without a permit keep slots from new ones. */
static int
has_uncounted(const pps_dispatcher_t *dispatcher,
              const pps_pool_worker_t *worker)
{
    return pps_worker_permit_total_for_new(dispatcher, worker) + 1 <=
           pps_worker_permits_total(&worker->permits, worker->slots,
                                    dispatcher->reactor->now_us);
}

static int
is_repeat_due(const pps_dispatcher_t *dispatcher,
              const pps_pool_worker_t *worker)
{
    int64_t period_us =
        has_uncounted(dispatcher, worker) ? STEP_PERIOD_US : REPEAT_PERIOD_US;

    return dispatcher->brittle_repeats != NULL &&
           (worker->permits_repeated_us == 0 ||
            dispatcher->reactor->now_us - worker->permits_repeated_us >=
                period_us) &&
           pps_worker_permit_upstream(dispatcher, worker, NULL)->is_brittle &&
           dispatcher->brittle_repeats(dispatcher->notice_user, worker);
}

/* Returns what older hosts have to be told that the worker held, so that they
 * send no more than the hosts of this build. */
static double
held_for_older(const pps_dispatcher_t *dispatcher,
               const pps_pool_worker_t *worker)
{
    double total = pps_worker_permit_total_for_new(dispatcher, worker);

    return pps_worker_permits_held_for(total > 1 ? total : 1);
}

static void
repeat_if_due(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_brittle_notice_t notice = {
        .worker = worker->digest,
        .start_ms = worker->info.start_ms,
        .is_brittle = 1,
        .is_rejected = 1,
        .is_for_older = 1,
        .held = PPS_BRITTLE_HELD_UNKNOWN,
    };

    if (!is_repeat_due(dispatcher, worker)) {
        return;
    }
    if (has_uncounted(dispatcher, worker)) {
        notice.held = held_for_older(dispatcher, worker);
    }
    notice.age_us =
        now_us -
        pps_worker_permit_upstream(dispatcher, worker, NULL)->named_us;
    worker->permits_repeated_us = now_us;
    dispatcher->brittle_notice(dispatcher->notice_user, &notice);
}

void
pps_brittle_note_listed(pps_dispatcher_t *dispatcher, const char *id)
{
    pps_pool_worker_t *worker = pps_pool_lookup(dispatcher->pool, id);

    if (worker != NULL &&
        pps_worker_permit_is_needed(dispatcher, worker, NULL)) {
        repeat_if_due(dispatcher, worker);
    }
}

static int
has_brittle_upstream(const pps_dispatcher_t *dispatcher)
{
    const pps_upstream_state_t *state;

    cds_list_for_each_entry (state, &dispatcher->upstreams, node) {
        if (state->brittle.is_brittle) {
            return 1;
        }
    }
    return 0;
}

/* Notes how many hosts can send to each failure domain, also while no worker
 * is brittle: a cut between hosts may have begun before. */
static void
count_hosts(pps_dispatcher_t *dispatcher)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (worker->listed) {
            pps_host_counts_note(dispatcher, &dispatcher->permit_hosts,
                                 worker);
        }
    }
}

void
pps_brittle_step(pps_dispatcher_t *dispatcher)
{
    pps_pool_worker_t *worker;

    if (dispatcher->limit_rank == NULL ||
        dispatcher->reactor->now_us < dispatcher->permit_hosts.step_due_us) {
        return;
    }
    dispatcher->permit_hosts.step_due_us =
        dispatcher->reactor->now_us + STEP_PERIOD_US;
    count_hosts(dispatcher);
    if (!has_brittle_upstream(dispatcher)) {
        return;
    }
    pps_left_calls_sweep(dispatcher);
    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (worker->listed &&
            pps_worker_permit_is_needed(dispatcher, worker, NULL)) {
            repeat_if_due(dispatcher, worker);
        }
    }
}
