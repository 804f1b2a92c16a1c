/** @file rollout_knowledge.c @brief Decides when a host may judge. */
#include "rollout_knowledge.h"

#include "clock.h"

/** Times after which a host judges: at the earliest, so that it has met the
 * others, and even if some have not told anything or know something else. */
#define COMPLETE_MIN_US (1 * PPS_US_PER_S)
#define COMPLETE_MAX_US (3 * PPS_US_PER_S)
/** Part of the live hosts that may have told nothing then. */
#define UNTOLD_DIVISOR 4

static int64_t
later_of(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

void
pps_rollout_knowledge_update(pps_rollout_knowledge_t *knowledge,
                             const pps_rollout_neighbours_t *neighbours,
                             int64_t now_us)
{
    int64_t waited_us;

    if (!neighbours->hears_all) {
        knowledge->hears_all_us = 0;
        knowledge->is_complete = 0;
        return;
    }
    if (knowledge->hears_all_us == 0) {
        knowledge->hears_all_us = now_us;
    }
    waited_us =
        now_us - later_of(knowledge->known_us, knowledge->hears_all_us);
    knowledge->is_complete |=
        (waited_us >= COMPLETE_MAX_US &&
         UNTOLD_DIVISOR * neighbours->untold <= neighbours->live) ||
        (waited_us >= COMPLETE_MIN_US && neighbours->live > 0 &&
         neighbours->untold == 0 && neighbours->differing == 0);
}

int
pps_rollout_knowledge_is_cut_off(const pps_rollout_neighbours_t *neighbours)
{
    return neighbours->lost > neighbours->live + 1;
}
