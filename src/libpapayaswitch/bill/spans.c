/** @file spans.c @brief Set of sequence numbers. */
#include "spans.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 4

/* Index of the first span that ends at `number` or behind it. */
static size_t
locate(const pps_spans_t *set, uint64_t number)
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
insert(pps_spans_t *set, size_t at, uint64_t number)
{
    size_t capacity = set->capacity ? 2 * set->capacity : FIRST_CAPACITY;
    pps_span_t *spans;

    if (set->count == set->capacity) {
        spans = realloc(set->spans, capacity * sizeof(*spans));
        if (spans == NULL) {
            return pps_error_set(PPS_ENOMEM, "spans: out of memory");
        }
        set->spans = spans;
        set->capacity = capacity;
    }
    memmove(&set->spans[at + 1], &set->spans[at],
            (set->count - at) * sizeof(set->spans[0]));
    set->spans[at] = (pps_span_t){number, number};
    set->count++;
    return 1;
}

static void
join_with_next(pps_spans_t *set, size_t at)
{
    if (at + 1 >= set->count ||
        set->spans[at].last + 1 != set->spans[at + 1].first) {
        return;
    }
    set->spans[at].last = set->spans[at + 1].last;
    set->count--;
    memmove(&set->spans[at + 1], &set->spans[at + 2],
            (set->count - at - 1) * sizeof(set->spans[0]));
}

int
pps_spans_add(pps_spans_t *set, uint64_t number)
{
    size_t at = locate(set, number);

    if (at < set->count && set->spans[at].first <= number) {
        return 0;
    }
    if (at > 0 && set->spans[at - 1].last + 1 == number) {
        set->spans[at - 1].last = number;
        join_with_next(set, at - 1);
        return 1;
    }
    if (at < set->count && number + 1 == set->spans[at].first) {
        set->spans[at].first = number;
        return 1;
    }
    return insert(set, at, number);
}

void
pps_spans_clear(pps_spans_t *set)
{
    free(set->spans);
    memset(set, 0, sizeof(*set));
}
