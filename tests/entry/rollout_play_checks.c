/** @file rollout_play_checks.c @brief Checks of a play of a roll-out. */
#include "rollout_play_state.h"

#include "clock.h"

#include <string.h>

/** Requests that may run on another version than the one before. */
#define PINNED_MAX 3
/** The operator's bound; as in the settings of node_play.c. */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_MORE 20
/** Difference of the sums of two hosts that messages under way explain. */
#define SUM_LAG 1000

static int
is_held(const pps_rollout_t *rollout)
{
    return rollout->held || rollout->state == PPS_ROLLOUT_ROLLED_BACK;
}

/* Compares what a host knows with what another one knows that hears all. */
static void
compare_host(unsigned int host, unsigned int other)
{
    const pps_rollout_t *own = &rollout_play_upstream(host)->rollout;
    const pps_rollout_t *known = &rollout_play_upstream(other)->rollout;
    pps_rollout_tally_t sum;
    pps_rollout_tally_t other_sum;

    if (is_held(own) != is_held(known) || own->share != known->share) {
        rollout_play_find(
            "host %u: state %d, share %u, held %d; host %u: %d, %u, %d", host,
            own->state, own->share, own->held, other, known->state,
            known->share, known->held);
    }
    pps_rollout_controller_sum(&sum, rollout_play_upstream(host));
    pps_rollout_controller_sum(&other_sum, rollout_play_upstream(other));
    if (own->state == PPS_ROLLOUT_ACTIVE &&
        rollout_play_upstream(host)->knowledge.is_complete &&
        rollout_play_upstream(other)->knowledge.is_complete &&
        (sum.requests > other_sum.requests + SUM_LAG ||
         other_sum.requests > sum.requests + SUM_LAG)) {
        rollout_play_find("host %u: counts %u requests, host %u: %u", host,
                          sum.requests, other, other_sum.requests);
    }
}

void
rollout_play_compare_hosts(void)
{
    int other = -1;

    for (unsigned int i = 0; i < rollout_play.options.hosts; i++) {
        if (rollout_play_takes_callers(i) && rollout_play_is_in_touch(i) &&
            other < 0 &&
            pps_gossip_hears_all(node_play->hosts[i].node->gossip)) {
            other = (int)i;
        }
    }
    for (unsigned int i = 0; i < rollout_play.options.hosts && other >= 0;
         i++) {
        if (rollout_play_takes_callers(i) && rollout_play_is_in_touch(i)) {
            compare_host(i, (unsigned int)other);
        }
    }
}

void
rollout_play_check_promises(const char *status)
{
    double allowed = rollout_play.sent * EXPOSURE_SHARE + EXPOSURE_MORE;

    if (strcmp(status, rollout_play.options.is_bad ? "rolled_back"
                                                   : "completed") != 0) {
        rollout_play_find("status %s at the end of the duration; pinned %u",
                          status, rollout_play.pinned);
    }
    if (rollout_play.options.is_bad && rollout_play.exposed > allowed) {
        rollout_play_find("%u of %u requests to the target, %.0f allowed",
                          rollout_play.exposed, rollout_play.sent, allowed);
    }
    if (rollout_play.pinned > PINNED_MAX) {
        rollout_play_find("%u requests on another version than the one before",
                          rollout_play.pinned);
    }
}
