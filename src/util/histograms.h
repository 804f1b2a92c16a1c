/**
 * @file histograms.h
 * @brief Latency histograms of the process, with fixed bounds.
 */
#ifndef PPS_UTIL_HISTOGRAMS_H
#define PPS_UTIL_HISTOGRAMS_H

#include "buf.h"

#include <stdint.h>

/** All histograms; histograms.def names them. */
typedef enum {
#define X(id, name, help) PPS_HISTOGRAM_##id,
#include "histograms.def"
#undef X
    PPS_HISTOGRAM_COUNT
} pps_histogram_t;

/** Counts a time. Never blocks. */
void
pps_histogram_observe(pps_histogram_t histogram, int64_t elapsed_us);

/** Times counted so far. */
uint64_t
pps_histogram_total(pps_histogram_t histogram);

/** Writes all histograms in the text exposition format, `papayaswitch_` first.
 */
int
pps_histograms_expose(pps_buf_t *out);

#endif
