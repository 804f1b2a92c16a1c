/**
 * @file brittle_upstream.h
 * @brief Whether the workers of an upstream are brittle at this time.
 *
 * All workers of an upstream are brittle in the same time. So a worker that
 * has just started, is new, or has not answered lately is taken for what the
 * others of its upstream say. A host that has heard of none of them takes them
 * for brittle: it may have started in the middle of such a time. Does no I/O
 * and reads no clock.
 */
#ifndef PPS_POOL_BRITTLE_UPSTREAM_H
#define PPS_POOL_BRITTLE_UPSTREAM_H

#include <stdint.h>

/** What workers of an upstream said, to any host. Zero: nothing yet. */
typedef struct {
    int is_known; /**< one of them has answered since this host started */
    int is_brittle;
    int64_t began_us; /**< when one of them first said so in this time */
    int64_t named_us; /**< when one of them last said so */
} pps_brittle_upstream_t;

/** Notes that a worker says that it is brittle.
 * @return 1 if that is new of the upstream, else 0 */
int
pps_brittle_upstream_name(pps_brittle_upstream_t *upstream, int64_t now_us);

/** Notes that an answer of a worker does not say so. That ends the time if
 * none has said so for a while before the request.
 * @param sent_us when its request was sent @return 1 if that ended it, else 0
 */
int
pps_brittle_upstream_deny(pps_brittle_upstream_t *upstream, int64_t sent_us);

/** Returns whether a worker is taken for brittle that has not said so itself.
 * @param denied_us when the last request was sent whose answer did not say so;
 *        0: it has not answered since it started */
int
pps_brittle_upstream_covers(const pps_brittle_upstream_t *upstream,
                            int64_t denied_us);

#endif
