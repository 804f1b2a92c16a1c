/** @file histograms.c @brief Counts by bound, and their sum. */
#include "histograms.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <stdatomic.h>

/* Upper bounds; what lies above is in the total alone. */
static const int64_t bounds_ms[] = {5,   10,   25,   50,   100,  250,
                                    500, 1000, 2500, 5000, 10000};

#define BOUNDS (sizeof(bounds_ms) / sizeof(*bounds_ms))

typedef struct {
    _Atomic uint64_t within[BOUNDS]; /* up to this bound, not the one before */
    _Atomic uint64_t total;
    _Atomic uint64_t sum_us;
} counts_t;

static counts_t histograms[PPS_HISTOGRAM_COUNT];

static const char *const names[] = {
#define X(id, name, help) name,
#include "histograms.def"
#undef X
};

void
pps_histogram_observe(pps_histogram_t histogram, int64_t elapsed_us)
{
    counts_t *counts = &histograms[histogram];
    size_t at = 0;

    if (elapsed_us < 0) {
        elapsed_us = 0;
    }
    while (at < BOUNDS && elapsed_us > bounds_ms[at] * PPS_US_PER_MS) {
        at++;
    }
    if (at < BOUNDS) {
        atomic_fetch_add_explicit(&counts->within[at], 1,
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
expose(pps_buf_t *out, const char *name, const counts_t *counts)
{
    uint64_t below = 0;
    uint64_t total =
        atomic_load_explicit(&counts->total, memory_order_relaxed);
    uint64_t sum_us =
        atomic_load_explicit(&counts->sum_us, memory_order_relaxed);

    pps_buf_printf(out, "# TYPE papayaswitch_%s histogram\n", name);
    for (size_t i = 0; i < BOUNDS; i++) {
        below +=
            atomic_load_explicit(&counts->within[i], memory_order_relaxed);
        pps_buf_printf(out, "papayaswitch_%s_bucket{le=\"%g\"} %" PRIu64 "\n",
                       name, (double)bounds_ms[i] / 1000, below);
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
        expose(out, names[i], &histograms[i]);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}
