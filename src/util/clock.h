/**
 * @file clock.h
 * @brief Monotonic clock for deadlines and wall clock for timestamps.
 */
#ifndef PPS_UTIL_CLOCK_H
#define PPS_UTIL_CLOCK_H

#include <stdint.h>

/** Microseconds in a millisecond and in a second. */
#define PPS_US_PER_MS INT64_C(1000)
#define PPS_US_PER_S INT64_C(1000000)

/**
 * Returns microseconds of a monotonic clock that also advances while the
 * process is stopped or the machine is suspended. All safety arguments rely
 * on this clock.
 */
int64_t
pps_clock_now_us(void);

/** Returns microseconds since 1970 UTC; for logs, events and bills only. */
int64_t
pps_clock_wall_us(void);

/** Sleeps for `us` microseconds; signals do not shorten the sleep. */
void
pps_clock_sleep_us(int64_t us);

#endif
