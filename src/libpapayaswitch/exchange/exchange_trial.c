/** @file exchange_trial.c @brief Choice of a worker of an unproven version. */
#include "exchange_trial.h"

#include "rollout/trial_worker.h"

#include <string.h>

/** Of the requests that try an unproven version, one in so many is spread over
 * its workers once the first are loaded; chosen by digits of the digest that
 * no share depends on. */
#define SPREAD_ONE_IN 3
#define SPREAD_DIGEST_DIVISOR 7000

int
pps_exchange_has_moved(const pps_exchange_t *exchange)
{
    return pps_rollout_has_moved(&exchange->upstream_state->rollout,
                                 exchange->version_digest,
                                 exchange->dispatcher->reactor->now_us);
}

int
pps_exchange_is_on_trial(const pps_exchange_t *exchange)
{
    const pps_rollout_t *rollout = &exchange->upstream_state->rollout;

    return pps_rollout_is_on_trial(rollout) &&
           pps_rollout_share(rollout, exchange->dispatcher->reactor->now_us) <
               PPS_ROLLOUT_SHARE_MAX &&
           pps_exchange_has_moved(exchange);
}

/* Returns whether the request shows how fast the version is at workers that
 * are not loaded, rather than what it does under load. */
static int
is_spread(const pps_exchange_t *exchange)
{
    return exchange->version_digest / SPREAD_DIGEST_DIVISOR % SPREAD_ONE_IN ==
           0;
}

/* Returns the number of the target's workers that the moved sessions keep
 * loaded, by the requests at all workers of the upstream. */
static size_t
trial_worker_count(const pps_exchange_t *exchange, double slots)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t now_us = dispatcher->reactor->now_us;
    unsigned int share =
        pps_rollout_share(&exchange->upstream_state->rollout, now_us);
    const pps_pool_worker_t *worker;
    double busy = 0;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (worker->listed &&
            strcmp(worker->info.upstream, exchange->upstream->name) == 0) {
            busy += pps_pool_worker_busy(worker, now_us, 1);
        }
    }
    return pps_trial_worker_count(busy * share / PPS_ROLLOUT_SHARE_MAX, slots);
}

int
pps_exchange_choose_for_trial(const pps_exchange_t *exchange,
                              const pps_placement_candidate_t *candidates,
                              pps_pool_worker_t *const *workers, size_t count)
{
    static pps_trial_worker_t trial[PPS_EXCHANGE_CANDIDATES_MAX];
    int64_t now_us = exchange->dispatcher->reactor->now_us;
    double target_us = (double)exchange->route->target_us;
    int chosen;

    for (size_t i = 0; i < count; i++) {
        trial[i] = (pps_trial_worker_t){
            .digest = workers[i]->digest,
            .load = pps_pool_worker_load(workers[i], now_us),
            .wait_share =
                target_us > 0 ? candidates[i].wait_us / target_us : 0,
        };
    }
    if (count == 0) {
        return -1;
    }
    chosen = pps_trial_worker_choose(
        trial, count, trial_worker_count(exchange, workers[0]->slots),
        &exchange->dispatcher->rng);
    return chosen >= 0 && trial[chosen].load >= PPS_ROLLOUT_LIGHT &&
                   is_spread(exchange)
               ? -1
               : chosen;
}
