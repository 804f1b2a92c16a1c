/**
 * @file repeat_limit.h
 * @brief Limits the repeats that this host adds to an upstream's load within a
 * sliding window. Designed for many failures at once, and for many answers
 * that are requested again from a larger model.
 */
#ifndef PPS_EXCHANGE_REPEAT_LIMIT_H
#define PPS_EXCHANGE_REPEAT_LIMIT_H

#include <stdint.h>

#define PPS_REPEAT_SLICES 20

/** Counts of one time slice. */
typedef struct {
    uint32_t requests;
    uint32_t repeats;
} pps_repeat_slice_t;

/** Repeats allowed within a window. */
typedef struct {
    double ratio;     /**< repeats per request */
    double allowance; /**< repeats regardless of the requests */
} pps_repeat_bounds_t;

/** Counts of an upstream's requests and repeats. */
typedef struct {
    int64_t slice_us;
    int64_t newest; /**< number of the newest slice since time 0 */
    pps_repeat_slice_t slices[PPS_REPEAT_SLICES];
} pps_repeat_limit_t;

/** Initializes an empty window. */
void
pps_repeat_limit_init(pps_repeat_limit_t *limit, int64_t window_us);

/** Counts a request of a caller, which raises the limit. */
void
pps_repeat_limit_count_request(pps_repeat_limit_t *limit, int64_t now_us);

/** Returns the used share of the allowed repeats, 0 to 1; 1 when none is
 * allowed. */
double
pps_repeat_limit_used(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us);

/** Counts a repeat if the limit allows it. @param share fraction of the
 * bounds that this kind of repeat may use, 0 to 1 @return 0 or PPS_ELIMIT */
int
pps_repeat_limit_take(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us,
                      double share);

#endif
