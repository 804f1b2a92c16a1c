/** @file rollout_export.c @brief Selects the roll-outs that hosts are told. */
#include "rollout_export.h"

#include "rollout_reports.h"

static int
is_active(const pps_dispatcher_t *dispatcher,
          const pps_upstream_state_t *state)
{
    return state->rollout.state == PPS_ROLLOUT_ACTIVE;
}

static int
has_ended_lately(const pps_dispatcher_t *dispatcher,
                 const pps_upstream_state_t *state)
{
    return state->rollout.state > PPS_ROLLOUT_ACTIVE &&
           dispatcher->reactor->now_us < state->told_until_us;
}

typedef int (*is_told_fn)(const pps_dispatcher_t *dispatcher,
                          const pps_upstream_state_t *state);

/* Roll-outs that are copied, among those that are told. */
typedef struct {
    pps_gossip_rollout_t *out;
    size_t max;
    size_t count;
    size_t skip; /* so many more before the first one */
} selection_t;

static void
select_rollouts(selection_t *selection, const pps_dispatcher_t *dispatcher,
                is_told_fn is_told)
{
    const pps_upstream_state_t *state;

    cds_list_for_each_entry (state, &dispatcher->upstreams, node) {
        if (!is_told(dispatcher, state) ||
            selection->count == selection->max) {
            continue;
        }
        if (selection->skip > 0) {
            selection->skip--;
            continue;
        }
        selection->out[selection->count].rollout = state->rollout;
        selection->out[selection->count].tally = state->tally;
        selection->out[selection->count].ended_digest =
            pps_rollout_reports_digest(&state->reports);
        selection->out[selection->count].has_ended_digest = 1;
        selection->count++;
    }
}

size_t
pps_rollout_export(const pps_dispatcher_t *dispatcher,
                   pps_gossip_rollout_t *out, size_t first)
{
    selection_t selection = {
        .out = out, .max = PPS_GOSSIP_ROLLOUTS, .skip = first};

    select_rollouts(&selection, dispatcher, is_active);
    select_rollouts(&selection, dispatcher, has_ended_lately);
    return selection.count;
}
