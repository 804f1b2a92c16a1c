/** @file load_samples.c @brief Computes percentiles of durations. */
#include "load_samples.h"

#include "clock.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 1024

void
load_samples_add(load_samples_t *samples, int64_t value_us)
{
    if (samples->count == samples->capacity) {
        size_t capacity =
            samples->capacity == 0 ? INITIAL_CAPACITY : samples->capacity * 2;
        int64_t *values =
            realloc(samples->values_us, capacity * sizeof(*values));

        if (values == NULL) {
            return;
        }
        samples->values_us = values;
        samples->capacity = capacity;
    }
    samples->values_us[samples->count++] = value_us;
}

static int
compare_durations(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

static json_t *
percentile_ms(const load_samples_t *samples, size_t percent)
{
    size_t index = samples->count * percent / 100;

    if (samples->count == 0) {
        return json_null();
    }
    if (index >= samples->count) {
        index = samples->count - 1;
    }
    return json_real((double)samples->values_us[index] / PPS_US_PER_MS);
}

json_t *
load_samples_json(load_samples_t *samples)
{
    if (samples->count > 0) {
        qsort(samples->values_us, samples->count, sizeof(int64_t),
              compare_durations);
    }
    return json_pack("{s:I,s:o,s:o,s:o}", "count", (json_int_t)samples->count,
                     "p50", percentile_ms(samples, 50), "p99",
                     percentile_ms(samples, 99), "max",
                     percentile_ms(samples, 100));
}

void
load_samples_clear(load_samples_t *samples)
{
    free(samples->values_us);
    *samples = (load_samples_t){0};
}
