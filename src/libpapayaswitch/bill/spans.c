/** @file spans.c @brief Stores a set of sequence numbers as spans. */
#include "spans.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 4

/* Returns the index of the first span whose end is at least `number`. */
static size_t
find_index(const pps_spans_t *set, uint64_t number)
{
    size_t low = 0;
    size_t high = set->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (set->spans[middle].last < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static int
insert_span(pps_spans_t *set, size_t index, uint64_t number)
{
    size_t capacity = set->capacity ? 2 * set->capacity : INITIAL_CAPACITY;
    pps_span_t *spans;

    if (set->count == set->capacity) {
        spans = realloc(set->spans, capacity * sizeof(*spans));
        if (spans == NULL) {
            return pps_error_set(PPS_ENOMEM,
                                 "set of sequence numbers: out of memory");
        }
        set->spans = spans;
        set->capacity = capacity;
    }
    memmove(&set->spans[index + 1], &set->spans[index],
            (set->count - index) * sizeof(set->spans[0]));
    set->spans[index] = (pps_span_t){number, number};
    set->count++;
    return 1;
}

static void
merge_with_next(pps_spans_t *set, size_t index)
{
    if (index + 1 >= set->count ||
        set->spans[index].last + 1 != set->spans[index + 1].first) {
        return;
    }
    set->spans[index].last = set->spans[index + 1].last;
    set->count--;
    memmove(&set->spans[index + 1], &set->spans[index + 2],
            (set->count - index - 1) * sizeof(set->spans[0]));
}

int
pps_spans_add(pps_spans_t *set, uint64_t number)
{
    size_t index = find_index(set, number);

    if (index < set->count && set->spans[index].first <= number) {
        return 0;
    }
    if (index > 0 && set->spans[index - 1].last + 1 == number) {
        set->spans[index - 1].last = number;
        merge_with_next(set, index - 1);
        return 1;
    }
    if (index < set->count && number + 1 == set->spans[index].first) {
        set->spans[index].first = number;
        return 1;
    }
    return insert_span(set, index, number);
}

void
pps_spans_clear(pps_spans_t *set)
{
    free(set->spans);
    memset(set, 0, sizeof(*set));
}
