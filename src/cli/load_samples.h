/**
 * @file load_samples.h
 * @brief Durations of which percentiles are asked.
 */
#ifndef PPS_CLI_LOAD_SAMPLES_H
#define PPS_CLI_LOAD_SAMPLES_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** A growing list of durations; zero-initialise it. */
typedef struct {
    int64_t *values_us;
    size_t count;
    size_t capacity;
} load_samples_t;

/** Adds a duration; one that finds no memory is left out. */
void
load_samples_add(load_samples_t *samples, int64_t value_us);

/** `{"count","p50","p99","max"}` in milliseconds; sorts the samples. */
json_t *
load_samples_json(load_samples_t *samples);

void
load_samples_clear(load_samples_t *samples);

#endif
