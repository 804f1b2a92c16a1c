/** @file catch_up.c @brief Prefers the store to copies of other hosts. */
#include "catch_up.h"

#include "clock.h"

/** `behind_us` at which a relayed record has normally arrived. */
#define RELAY_TIMEOUT_US (400 * PPS_US_PER_MS)
/** `behind_us` at which the store has normally answered a read. */
#define STORE_TIMEOUT_US (1000 * PPS_US_PER_MS)

/* In a new epoch all hosts list everything again. The store is spared that as
 * long as another host can send its copy. */
unsigned int
pps_catch_up_choose(const pps_lag_t *lag)
{
    int is_late = lag->behind_us >= RELAY_TIMEOUT_US;

    if (!lag->is_behind) {
        return 0;
    }
    if (!lag->is_loaded || lag->store_failing) {
        return PPS_CATCH_UP_FROM_PEER;
    }
    if (lag->is_older_epoch && lag->behind_us < STORE_TIMEOUT_US) {
        return PPS_CATCH_UP_FROM_PEER;
    }
    if (lag->has_many_peers && lag->has_source && !lag->is_reader &&
        lag->behind_us < STORE_TIMEOUT_US) {
        return lag->is_urgent || is_late || lag->has_gap
                   ? PPS_CATCH_UP_FROM_PEER
                   : 0;
    }
    if (lag->is_urgent) {
        return is_late ? PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER
                       : PPS_CATCH_UP_FROM_STORE;
    }
    if (lag->behind_us >= STORE_TIMEOUT_US) {
        return PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER;
    }
    return is_late || lag->has_gap ? PPS_CATCH_UP_FROM_STORE : 0;
}
