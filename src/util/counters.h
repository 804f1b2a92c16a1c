/**
 * @file counters.h
 * @brief Counters of the process, striped so that threads do not collide.
 */
#ifndef PPS_UTIL_COUNTERS_H
#define PPS_UTIL_COUNTERS_H

#include "buf.h"

#include <stdint.h>

/** All counters; counters.def names them. */
typedef enum {
#define X(id, name, help) PPS_COUNTER_##id,
#include "counters.def"
#undef X
    PPS_COUNTER_COUNT
} pps_counter_t;

/** Adds to a counter. Never blocks. */
void
pps_counter_add(pps_counter_t counter, uint64_t amount);

/** The sum over all threads. */
uint64_t
pps_counter_sum(pps_counter_t counter);

/** The exposed name, such as `requests_total`. */
const char *
pps_counter_name(pps_counter_t counter);

/** Writes all counters in the text exposition format, `papayaswitch_` first.
 */
int
pps_counters_expose(pps_buf_t *out);

#endif
