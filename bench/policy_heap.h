/** @file policy_heap.h @brief Event queue of the discrete-event benches. */
#ifndef POLICY_HEAP_H
#define POLICY_HEAP_H

#include <stddef.h>
#include <stdint.h>

#define HEAP_MAX 1048576

/** A scheduled event. */
typedef struct {
    int64_t at_us;
    int kind;
    int index;
    int other;
} event_t;

/** A binary heap with the earliest event at its root. */
typedef struct {
    event_t events[HEAP_MAX];
    size_t count;
} heap_t;

static inline void
heap_push(heap_t *heap, event_t event)
{
    size_t i = heap->count++;

    while (i > 0 && heap->events[(i - 1) / 2].at_us > event.at_us) {
        heap->events[i] = heap->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap->events[i] = event;
}

static inline event_t
heap_pop(heap_t *heap)
{
    event_t first = heap->events[0];
    event_t last = heap->events[--heap->count];
    size_t i = 0;

    for (size_t child = 1; child < heap->count; child = 2 * i + 1) {
        if (child + 1 < heap->count &&
            heap->events[child + 1].at_us < heap->events[child].at_us) {
            child++;
        }
        if (heap->events[child].at_us >= last.at_us) {
            break;
        }
        heap->events[i] = heap->events[child];
        i = child;
    }
    heap->events[i] = last;
    return first;
}

#endif
