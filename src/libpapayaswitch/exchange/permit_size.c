/** @file permit_size.c @brief How many permits requests take. */
#include "permit_size.h"

#include "clock.h"

#include <string.h>

/** Slots of callers' requests over which their sizes are compared. */
#define DEMAND_WINDOW 256
/** Shortest time for which permits are left to a large request. */
#define LEAVE_TO_LARGE_US (300 * PPS_US_PER_MS)
/** Part of the slots that large requests would have if all were served alike
 * below which small ones leave them permits. */
#define LARGE_SHARE_MIN 0.7

unsigned int
pps_permit_size_largest(const pps_dispatcher_t *dispatcher,
                        const pps_pool_worker_t *worker)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, worker->info.upstream);

    if (state == NULL || worker->permit_ignores_size) {
        return 1;
    }
    return pps_longest_prompt_size(&state->longest_prompt,
                                   state->memory_tokens, worker->slots,
                                   dispatcher->reactor->now_us);
}

unsigned int
pps_permit_size_of(const pps_exchange_t *exchange,
                   const pps_pool_worker_t *worker)
{
    unsigned int largest =
        pps_permit_size_largest(exchange->dispatcher, worker);
    unsigned int size =
        pps_request_size(exchange->call.prompt_tokens,
                         exchange->upstream->memory_tokens, worker->slots);

    return size < largest ? size : largest;
}

/* Returns the slots of the upstream's workers, as those of the first one. */
static unsigned int
find_slots(const pps_exchange_t *exchange)
{
    const pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(exchange->dispatcher->pool), node) {
        if (strcmp(worker->info.upstream, exchange->upstream->name) == 0) {
            return worker->slots;
        }
    }
    return 0;
}

void
pps_permit_size_count_demand(pps_exchange_t *exchange)
{
    pps_upstream_state_t *state = exchange->upstream_state;
    unsigned int size;

    if (exchange->upstream->memory_tokens == 0) {
        return;
    }
    if (state->worker_slots == 0) {
        state->worker_slots = find_slots(exchange);
    }
    size = pps_request_size(exchange->call.prompt_tokens,
                            exchange->upstream->memory_tokens,
                            state->worker_slots);

    state->memory_tokens = exchange->upstream->memory_tokens;
    pps_longest_prompt_note(&state->longest_prompt,
                            exchange->call.prompt_tokens,
                            exchange->dispatcher->reactor->now_us);
    pps_size_balance_add(&state->demand, size, DEMAND_WINDOW);
}

int
pps_permit_size_is_left_to_large(const pps_dispatcher_t *dispatcher,
                                 const pps_pool_worker_t *worker)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, worker->info.upstream);
    int64_t wait_us = LEAVE_TO_LARGE_US;

    if (state == NULL || worker->large_wanted_us == 0) {
        return 0;
    }
    if ((int64_t)state->long_answer_us > wait_us) {
        wait_us = (int64_t)state->long_answer_us;
    }
    return dispatcher->reactor->now_us - worker->large_wanted_us < wait_us &&
           pps_size_balance_large(&worker->taken) <
               pps_size_balance_large(&state->demand) * LARGE_SHARE_MIN;
}
