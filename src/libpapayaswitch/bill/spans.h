/**
 * @file spans.h
 * @brief Stores a set of sequence numbers as sorted spans.
 */
#ifndef PPS_BILL_SPANS_H
#define PPS_BILL_SPANS_H

#include <stddef.h>
#include <stdint.h>

/** Numbers from `first` to `last`, ends included. */
typedef struct {
    uint64_t first;
    uint64_t last;
} pps_span_t;

/** Set of numbers, valid when zero-initialized; freed by pps_spans_clear().
 * The spans are ascending and neither overlap nor adjoin. */
typedef struct {
    pps_span_t *spans;
    size_t count;
    size_t capacity;
} pps_spans_t;

/** Adds a number. @return 1 when it is new, 0 when present, or PPS_ENOMEM */
int
pps_spans_add(pps_spans_t *set, uint64_t number);

/** Frees the spans and empties the set. */
void
pps_spans_clear(pps_spans_t *set);

#endif
