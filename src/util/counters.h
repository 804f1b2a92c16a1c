/**
 * @file counters.h
 * @brief Process-wide counters, striped to avoid contention on cache lines.
 */
#ifndef PPS_UTIL_COUNTERS_H
#define PPS_UTIL_COUNTERS_H

#include "buf.h"

#include <stdint.h>

/** Counters, as listed in counters.def. */
typedef enum {
#define X(id, name, help) PPS_COUNTER_##id,
#include "counters.def"
#undef X
    PPS_COUNTER_COUNT
} pps_counter_t;

/** Adds to a counter. Never blocks. */
void
pps_counter_add(pps_counter_t counter, uint64_t amount);

/** Returns the sum over all threads. */
uint64_t
pps_counter_sum(pps_counter_t counter);

/** Returns the exposed name, such as `requests_total`. */
const char *
pps_counter_name(pps_counter_t counter);

/**
 * Appends all counters in the Prometheus text format, with the prefix
 * `papayaswitch_`.
 * @return 0 or PPS_ENOMEM
 */
int
pps_counters_expose(pps_buf_t *out);

#endif
