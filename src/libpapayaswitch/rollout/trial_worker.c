/** @file trial_worker.c @brief Concentrates the requests of a trial. */
#include "trial_worker.h"

/** Requests per slot that the workers of a trial are to have. */
#define LOAD_WANTED 0.85
/** Load and wait from which a worker counts as full. */
#define LOAD_MAX 0.9
#define WAIT_SHARE_MAX 1.0
/** Up to this many workers are counted exactly, more by their share of all
 * digests, which are spread evenly. */
#define EXACT_COUNT_MAX 16

static int
is_full(const pps_trial_worker_t *worker)
{
    return worker->load >= LOAD_MAX || worker->wait_share >= WAIT_SHARE_MAX;
}

size_t
pps_trial_worker_count(double requests, double slots)
{
    double count = slots > 0 ? requests / (slots * LOAD_WANTED) : 1;

    return count < 1 ? 1 : (size_t)count;
}

/* Returns the lowest digest of at least `from`, or UINT64_MAX. */
static uint64_t
lowest_digest(const pps_trial_worker_t *workers, size_t count, uint64_t from)
{
    uint64_t lowest = UINT64_MAX;

    for (size_t i = 0; i < count; i++) {
        if (workers[i].digest >= from && workers[i].digest < lowest) {
            lowest = workers[i].digest;
        }
    }
    return lowest;
}

/* Returns the highest digest of the first `wanted` workers. */
static uint64_t
last_wanted_digest(const pps_trial_worker_t *workers, size_t count,
                   size_t wanted)
{
    uint64_t last = lowest_digest(workers, count, 0);

    if (wanted > EXACT_COUNT_MAX && wanted < count) {
        return UINT64_MAX / count * wanted;
    }
    for (size_t i = 1; i < wanted && i < count; i++) {
        last = lowest_digest(workers, count, last + 1);
    }
    return last;
}

/* Returns one of the workers up to a digest that are not full, or -1. */
static int
choose_up_to(const pps_trial_worker_t *workers, size_t count, uint64_t last,
             pps_rng_t *rng)
{
    size_t seen = 0;
    int chosen = -1;

    for (size_t i = 0; i < count; i++) {
        if (workers[i].digest <= last && !is_full(&workers[i]) &&
            pps_rng_below(rng, ++seen) == 0) {
            chosen = (int)i;
        }
    }
    return chosen;
}

static int
choose_first(const pps_trial_worker_t *workers, size_t count)
{
    int best = -1;

    for (size_t i = 0; i < count; i++) {
        if (!is_full(&workers[i]) &&
            (best < 0 || workers[i].digest < workers[best].digest)) {
            best = (int)i;
        }
    }
    return best;
}

int
pps_trial_worker_choose(const pps_trial_worker_t *workers, size_t count,
                        size_t wanted, pps_rng_t *rng)
{
    int chosen = -1;

    if (count > 0) {
        chosen = choose_up_to(workers, count,
                              last_wanted_digest(workers, count, wanted), rng);
    }
    return chosen >= 0 ? chosen : choose_first(workers, count);
}
