/** @file catch_up.c @brief The store first, other hosts when it is away. */
#include "catch_up.h"

#include "clock.h"

/** A record that a reader passes on has come by then. */
#define ON_ITS_WAY_US (400 * PPS_US_PER_MS)
/** A read of the store has been answered by then. */
#define ANSWERED_US (1000 * PPS_US_PER_MS)

unsigned int
pps_catch_up_choose(const pps_lag_t *lag)
{
    int is_late = lag->behind_us >= ON_ITS_WAY_US;

    if (!lag->is_behind) {
        return 0;
    }
    if (!lag->is_loaded || lag->store_failing) {
        return PPS_CATCH_UP_FROM_PEER;
    }
    if (lag->is_urgent) {
        return is_late ? PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER
                       : PPS_CATCH_UP_FROM_STORE;
    }
    if (lag->behind_us >= ANSWERED_US) {
        return PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER;
    }
    return is_late || lag->has_gap ? PPS_CATCH_UP_FROM_STORE : 0;
}
