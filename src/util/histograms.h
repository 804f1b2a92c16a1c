/**
 * @file histograms.h
 * @brief Process-wide latency histograms with fixed bucket bounds.
 */
#ifndef PPS_UTIL_HISTOGRAMS_H
#define PPS_UTIL_HISTOGRAMS_H

#include "buf.h"

#include <stdint.h>

/** Histograms, as listed in histograms.def. */
typedef enum {
#define X(id, name, help) PPS_HISTOGRAM_##id,
#include "histograms.def"
#undef X
    PPS_HISTOGRAM_COUNT
} pps_histogram_t;

/** Counts a duration; a negative one counts as 0. Never blocks. */
void
pps_histogram_observe(pps_histogram_t histogram, int64_t elapsed_us);

/** Returns the number of durations counted so far. */
uint64_t
pps_histogram_total(pps_histogram_t histogram);

/**
 * Appends all histograms in the Prometheus text format, with the prefix
 * `papayaswitch_`.
 * @return 0 or PPS_ENOMEM
 */
int
pps_histograms_expose(pps_buf_t *out);

#endif
