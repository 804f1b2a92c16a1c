/** @file trial_worker.c @brief Concentrates the requests of a trial. */
#include "trial_worker.h"

/** Load and wait from which the next worker is used as well: above the load
 * from which a worker counts as loaded, below one at which callers wait. */
#define LOAD_MAX 0.9
#define WAIT_SHARE_MAX 1.0

static int
is_full(const pps_trial_worker_t *worker)
{
    return worker->load >= LOAD_MAX || worker->wait_share >= WAIT_SHARE_MAX;
}

int
pps_trial_worker_choose(const pps_trial_worker_t *workers, size_t count)
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
