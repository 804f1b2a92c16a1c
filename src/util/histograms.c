/** @file histograms.c @brief Counts durations in buckets. */
#include "histograms.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <stdatomic.h>

/* Bucket upper bounds; longer durations count only in total and sum. */
static const int64_t bounds_ms[] = {5,   10,   25,   50,   100,  250,
                                    500, 1000, 2500, 5000, 10000};

#define BOUNDS (sizeof(bounds_ms) / sizeof(*bounds_ms))

typedef struct {
    _Atomic uint64_t bucket_counts[BOUNDS]; /* not cumulative */
    _Atomic uint64_t total;
    _Atomic uint64_t sum_us;
} histogram_t;

static histogram_t histograms[PPS_HISTOGRAM_COUNT];

typedef struct {
    const char *name;
    const char *help;
} description_t;

static const description_t descriptions[] = {
#define X(id, name, help) {name, help},
#include "histograms.def"
#undef X
};

void
pps_histogram_observe(pps_histogram_t histogram, int64_t elapsed_us)
{
    histogram_t *counts = &histograms[histogram];
    size_t bucket = 0;

    if (elapsed_us < 0) {
        elapsed_us = 0;
    }
    while (bucket < BOUNDS && elapsed_us > bounds_ms[bucket] * PPS_US_PER_MS) {
        bucket++;
    }
    if (bucket < BOUNDS) {
        atomic_fetch_add_explicit(&counts->bucket_counts[bucket], 1,
                                  memory_order_relaxed);
    }
    atomic_fetch_add_explicit(&counts->total, 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&counts->sum_us, (uint64_t)elapsed_us,
                              memory_order_relaxed);
}

uint64_t
pps_histogram_total(pps_histogram_t histogram)
{
    return atomic_load_explicit(&histograms[histogram].total,
                                memory_order_relaxed);
}

static void
append_histogram(pps_buf_t *out, const description_t *description,
                 const histogram_t *counts)
{
    const char *name = description->name;
    uint64_t cumulative = 0;
    uint64_t total =
        atomic_load_explicit(&counts->total, memory_order_relaxed);
    uint64_t sum_us =
        atomic_load_explicit(&counts->sum_us, memory_order_relaxed);

    pps_buf_printf(out,
                   "# HELP papayaswitch_%s %s\n"
                   "# TYPE papayaswitch_%s histogram\n",
                   name, description->help, name);
    for (size_t i = 0; i < BOUNDS; i++) {
        cumulative += atomic_load_explicit(&counts->bucket_counts[i],
                                           memory_order_relaxed);
        pps_buf_printf(out, "papayaswitch_%s_bucket{le=\"%g\"} %" PRIu64 "\n",
                       name, (double)bounds_ms[i] / 1000, cumulative);
    }
    pps_buf_printf(out, "papayaswitch_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
                   name, total);
    pps_buf_printf(out, "papayaswitch_%s_sum %.6f\n", name,
                   (double)sum_us / PPS_US_PER_S);
    pps_buf_printf(out, "papayaswitch_%s_count %" PRIu64 "\n", name, total);
}

int
pps_histograms_expose(pps_buf_t *out)
{
    for (size_t i = 0; i < PPS_HISTOGRAM_COUNT; i++) {
        append_histogram(out, &descriptions[i], &histograms[i]);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}
