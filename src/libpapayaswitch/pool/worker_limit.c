/** @file worker_limit.c @brief The limit that a worker names. */
#include "worker_limit.h"

int
pps_worker_limit_name(pps_worker_limit_t *limit, double per_s, int64_t now_us)
{
    int is_changed = !limit->is_named || limit->per_s != per_s;

    limit->is_named = 1;
    limit->per_s = per_s;
    limit->named_us = now_us;
    return is_changed;
}

int
pps_worker_limit_end(pps_worker_limit_t *limit, int64_t sent_us)
{
    if (!limit->is_named || sent_us <= limit->named_us) {
        return 0;
    }
    limit->is_named = 0;
    return 1;
}
