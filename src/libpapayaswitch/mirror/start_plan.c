/** @file start_plan.c @brief Decides when a starting host lists the topics. */
#include "start_plan.h"

#include "catch_up.h"
#include "clock.h"

#include <string.h>
#include <xxhash.h>

/** Number of hosts that list at the same time, and the time until the next
 * ones in rank do. */
#define LISTERS 4
#define STEP_US (500 * PPS_US_PER_MS)
/** Hosts with fast links rank as if so many times fewer were before them. */
#define FAST_LINK_GAIN 8
/** Time after which any host lists: with and without a host that has the
 * copies. Requests are to be served 15 s after a start of all hosts. */
#define WAIT_MAX_US (5 * PPS_US_PER_S)
#define WAIT_FOR_SOURCE_MAX_US (9 * PPS_US_PER_S)
/** Time after which the list of hosts is no longer waited for. */
#define LIST_MAX_US (1500 * PPS_US_PER_MS)

uint64_t
pps_start_rank(const char *address)
{
    return XXH64(address, strlen(address), 0);
}

static int64_t
wait_us(const pps_start_state_t *state)
{
    unsigned int before =
        state->is_link_fast ? state->before / FAST_LINK_GAIN : state->before;
    int64_t wait = (int64_t)(before / LISTERS) * STEP_US;

    if (state->has_source && wait > 0) {
        return WAIT_FOR_SOURCE_MAX_US;
    }
    return wait < WAIT_MAX_US ? wait : WAIT_MAX_US;
}

int
pps_start_may_list(const pps_start_state_t *state)
{
    int is_known = state->listed_us >= 0 || state->is_failing ||
                   state->elapsed_us >= LIST_MAX_US;
    int64_t since_us = state->listed_us >= 0 ? state->listed_us : 0;

    if (!is_known) {
        return 0;
    }
    return state->hosts <= PPS_CATCH_UP_FEW_PEERS_MAX + 1 ||
           state->elapsed_us - since_us >= wait_us(state);
}
