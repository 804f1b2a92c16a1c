/**
 * @file load_samples.h
 * @brief Collects durations and computes their percentiles.
 */
#ifndef PPS_CLI_LOAD_SAMPLES_H
#define PPS_CLI_LOAD_SAMPLES_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** Growing array of durations; initialize with zeros. */
typedef struct {
    int64_t *values_us;
    size_t count;
    size_t capacity;
} load_samples_t;

/** Adds a duration, or discards it if memory is exhausted. */
void
load_samples_add(load_samples_t *samples, int64_t value_us);

/** Encodes `{"count","p50","p99","max"}` in ms; sorts the samples. */
json_t *
load_samples_json(load_samples_t *samples);

void
load_samples_clear(load_samples_t *samples);

#endif
