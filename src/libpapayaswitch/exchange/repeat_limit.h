/**
 * @file repeat_limit.h
 * @brief Bounds the repeats that this host adds to an upstream's work within a
 * sliding window. Load it answers: many failures at once, or many answers that
 * a larger model has to give again.
 */
#ifndef PPS_EXCHANGE_REPEAT_LIMIT_H
#define PPS_EXCHANGE_REPEAT_LIMIT_H

#include <stdint.h>

#define PPS_REPEAT_SLICES 20

/** Counts of one slice of the window. */
typedef struct {
    uint32_t requests;
    uint32_t repeats;
} pps_repeat_slice_t;

/** How many repeats a window may hold. */
typedef struct {
    double ratio;     /**< repeats for one request */
    double allowance; /**< repeats beyond that */
} pps_repeat_bounds_t;

/** A limit. */
typedef struct {
    int64_t slice_us;
    int64_t newest; /**< number of the newest slice */
    pps_repeat_slice_t slices[PPS_REPEAT_SLICES];
} pps_repeat_limit_t;

/** Starts empty. */
void
pps_repeat_limit_init(pps_repeat_limit_t *limit, int64_t window_us);

/** Counts a caller's request. */
void
pps_repeat_limit_count_request(pps_repeat_limit_t *limit, int64_t now_us);

/** Share of the bounds that the window's repeats use; 1 when nothing is
 * allowed. */
double
pps_repeat_limit_used(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us);

/** Takes a repeat. @param part of the bounds that this kind of repeat may use,
 * 0 to 1 @return 0 or PPS_ELIMIT */
int
pps_repeat_limit_take(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us,
                      double part);

#endif
