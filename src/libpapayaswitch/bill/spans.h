/**
 * @file spans.h
 * @brief A set of sequence numbers, kept as spans in order.
 */
#ifndef PPS_BILL_SPANS_H
#define PPS_BILL_SPANS_H

#include <stddef.h>
#include <stdint.h>

/** Numbers from `first` to `last`, both included. */
typedef struct {
    uint64_t first;
    uint64_t last;
} pps_span_t;

/** The set. Zero-initialise it; free with pps_spans_clear(). */
typedef struct {
    pps_span_t *spans;
    size_t count;
    size_t capacity;
} pps_spans_t;

/** Adds a number. @return 1 when new, 0 when present, or PPS_ENOMEM */
int
pps_spans_add(pps_spans_t *set, uint64_t number);

/** Frees the memory. */
void
pps_spans_clear(pps_spans_t *set);

#endif
