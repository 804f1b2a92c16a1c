/** @file worker_limit.c @brief The limit that a worker names. */
#include "worker_limit.h"

#include "clock.h"

/** Fraction of the limit that all hosts together use. */
#define USED_FRACTION 0.9
/** Requests a second that are sent to a worker which names a smaller limit, to
 * learn when it ends. */
#define PER_S_MIN 0.05
#define SAVED_MAX 1.0

int
pps_worker_limit_name(pps_worker_limit_t *limit, double per_s, int64_t now_us)
{
    int is_changed = !limit->is_named || limit->per_s != per_s;

    if (!limit->is_named) {
        limit->saved = 0;
        limit->saved_us = now_us;
    }
    limit->is_named = 1;
    limit->per_s = per_s;
    if (now_us > limit->named_us) {
        limit->named_us = now_us;
    }
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

unsigned int
pps_worker_limit_count_senders(const pps_worker_limit_t *limit,
                               unsigned int hosts)
{
    if (limit->per_s >= hosts) {
        return hosts;
    }
    return limit->per_s < 1 ? 1 : (unsigned int)limit->per_s;
}

static double
saved_per_us(const pps_worker_limit_t *limit, const pps_limit_share_t *share)
{
    double per_s = limit->per_s * USED_FRACTION;

    return (per_s > PER_S_MIN ? per_s : PER_S_MIN) / share->senders /
           PPS_US_PER_S;
}

static void
save(pps_worker_limit_t *limit, const pps_limit_share_t *share, int64_t now_us)
{
    double passed_us = (double)(now_us - limit->saved_us);

    limit->saved = share->is_sender
                       ? limit->saved + passed_us * saved_per_us(limit, share)
                       : 0;
    if (limit->saved > SAVED_MAX) {
        limit->saved = SAVED_MAX;
    }
    limit->saved_us = now_us;
}

int64_t
pps_worker_limit_wait_us(pps_worker_limit_t *limit,
                         const pps_limit_share_t *share, int64_t now_us)
{
    if (!limit->is_named) {
        return 0;
    }
    save(limit, share, now_us);
    if (!share->is_sender) {
        return INT64_MAX;
    }
    return limit->saved >= SAVED_MAX ? 0
                                     : (int64_t)((SAVED_MAX - limit->saved) /
                                                 saved_per_us(limit, share)) +
                                           1;
}

void
pps_worker_limit_take(pps_worker_limit_t *limit)
{
    if (limit->is_named) {
        limit->saved -= SAVED_MAX;
    }
}
