/**
 * @file lateness.h
 * @brief How late an upstream's first bytes usually come. Pure.
 *
 * Load it answers: workers that read long prompts for many. First bytes count
 * against their own route's target, so that routes of long targets are seen
 * too; one that comes very late counts as one that is just late, since it
 * tells of its own worker only.
 */
#ifndef PPS_EXCHANGE_LATENESS_H
#define PPS_EXCHANGE_LATENESS_H

#include <stdint.h>

/** Usual part of the target that has passed at a first byte; 0 to 1. */
typedef struct {
    double part;
} pps_lateness_t;

/** A first byte came. @param target_us of its route; 0: it has none */
void
pps_lateness_record(pps_lateness_t *lateness, int64_t elapsed_us,
                    int64_t target_us);

#endif
