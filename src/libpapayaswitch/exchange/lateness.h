/**
 * @file lateness.h
 * @brief Tracks an upstream's usual time to first byte relative to the target,
 * as a measure of its load. Does no I/O and reads no clock.
 *
 * Designed for workers that read long prompts for many callers. Each first
 * byte is compared with its own route's target, so that routes with long
 * targets count too. Ratios are capped at 1 because one very late first byte
 * says little about the upstream's other workers.
 */
#ifndef PPS_EXCHANGE_LATENESS_H
#define PPS_EXCHANGE_LATENESS_H

#include <stdint.h>

/** Smoothed time to first byte as a fraction of the target, 0 to 1. */
typedef struct {
    double ratio;
} pps_lateness_t;

/** Adds a time to first byte. @param target_us target of the request's route;
 * 0: none, the time is ignored */
void
pps_lateness_record(pps_lateness_t *lateness, int64_t elapsed_us,
                    int64_t target_us);

#endif
