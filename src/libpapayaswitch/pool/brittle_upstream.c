/** @file brittle_upstream.c @brief Whether an upstream's workers are brittle.
 */
#include "brittle_upstream.h"

#include "clock.h"

/** Time without a statement after which an answer that has none ends it:
 * workers state it in each answer, and hosts repeat it more often. */
#define QUIET_US (1 * PPS_US_PER_S)
/** Time for which a worker's answer without the statement, to a request that
 * was sent since another one has stated it, counts more than what others say.
 */
#define DENIAL_US (2 * PPS_US_PER_S)

int
pps_brittle_upstream_name(pps_brittle_upstream_t *upstream, int64_t now_us)
{
    int is_new = !upstream->is_brittle;

    if (is_new) {
        upstream->began_us = now_us;
    }
    upstream->is_known = 1;
    upstream->is_brittle = 1;
    if (now_us > upstream->named_us) {
        upstream->named_us = now_us;
    }
    return is_new;
}

int
pps_brittle_upstream_deny(pps_brittle_upstream_t *upstream, int64_t sent_us)
{
    int was_brittle = upstream->is_brittle;

    upstream->is_known = 1;
    if (was_brittle && sent_us - upstream->named_us > QUIET_US) {
        upstream->is_brittle = 0;
    }
    return was_brittle && !upstream->is_brittle;
}

int
pps_brittle_upstream_covers(const pps_brittle_upstream_t *upstream,
                            int64_t denied_us)
{
    if (!upstream->is_known) {
        return 1;
    }
    return upstream->is_brittle &&
           (denied_us < upstream->began_us ||
            upstream->named_us - denied_us > DENIAL_US);
}
