/**
 * @file clock.h
 * @brief The two clocks: one that never jumps, one for people.
 */
#ifndef PPS_UTIL_CLOCK_H
#define PPS_UTIL_CLOCK_H

#include <stdint.h>

/** Microseconds in a millisecond and in a second. */
#define PPS_US_PER_MS INT64_C(1000)
#define PPS_US_PER_S INT64_C(1000000)

/**
 * Microseconds on a clock that only rises and that runs on while the process
 * is stopped or the machine sleeps. All safety arguments use this one.
 */
int64_t
pps_clock_now_us(void);

/** Microseconds since 1970 UTC; for logs, events and bills only. */
int64_t
pps_clock_wall_us(void);

/** Sleeps for `us` microseconds. */
void
pps_clock_sleep_us(int64_t us);

#endif
