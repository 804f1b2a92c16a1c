/** @file counters.c @brief Adds to and sums the striped counters. */
#include "counters.h"

#include <inttypes.h>
#include <stdatomic.h>

#define STRIPES 16
#define CACHE_LINE_BYTES 64

typedef struct {
    _Alignas(CACHE_LINE_BYTES) atomic_uint_fast64_t values[PPS_COUNTER_COUNT];
} stripe_t;

typedef struct {
    const char *name;
    const char *help;
} description_t;

static stripe_t stripes[STRIPES];
static atomic_uint next_stripe;
static _Thread_local unsigned int thread_stripe = STRIPES;

static const description_t descriptions[PPS_COUNTER_COUNT] = {
#define X(id, name, help) {name, help},
#include "counters.def"
#undef X
};

void
pps_counter_add(pps_counter_t counter, uint64_t amount)
{
    if (thread_stripe == STRIPES) {
        thread_stripe = atomic_fetch_add(&next_stripe, 1) % STRIPES;
    }
    atomic_fetch_add_explicit(&stripes[thread_stripe].values[counter], amount,
                              memory_order_relaxed);
}

uint64_t
pps_counter_sum(pps_counter_t counter)
{
    uint64_t sum = 0;

    for (int i = 0; i < STRIPES; i++) {
        sum += atomic_load_explicit(&stripes[i].values[counter],
                                    memory_order_relaxed);
    }
    return sum;
}

const char *
pps_counter_name(pps_counter_t counter)
{
    return descriptions[counter].name;
}

int
pps_counters_expose(pps_buf_t *out)
{
    int error = 0;

    for (int i = 0; i < PPS_COUNTER_COUNT && error == 0; i++) {
        error = pps_buf_printf(
            out,
            "# HELP papayaswitch_%s %s\n# TYPE papayaswitch_%s counter\n"
            "papayaswitch_%s %" PRIu64 "\n",
            descriptions[i].name, descriptions[i].help, descriptions[i].name,
            descriptions[i].name, pps_counter_sum((pps_counter_t)i));
    }
    return error;
}
