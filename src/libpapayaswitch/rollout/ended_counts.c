/** @file ended_counts.c @brief Sends and adopts counts of ended processes. */
#include "ended_counts.h"

#include "clock.h"
#include "rollout_reports.h"

#include <string.h>

/** A process that has told its counts for less than this gets all counts, as
 * it has just started. Others get those that have changed for less than this;
 * all of them now and then, for what was lost. */
#define RECENT_US (5 * PPS_US_PER_S)
#define ALL_ONE_IN 4

/* Counts that are being sent to a peer. */
typedef struct {
    pps_gossip_t *gossip;
    const pps_gossip_peer_t *peer;
    pps_gossip_ended_counts_t page;
} sending_t;

static void
send_page(sending_t *sending)
{
    if (sending->page.count > 0) {
        pps_gossip_send_ended_counts(sending->gossip, sending->peer,
                                     &sending->page);
        sending->page.count = 0;
    }
}

static void
add_report(sending_t *sending, const pps_rollout_report_t *report)
{
    pps_gossip_ended_count_t *item =
        &sending->page.items[sending->page.count++];

    item->process = report->process;
    item->tally = report->tally;
    if (sending->page.count == PPS_GOSSIP_ENDED_COUNTS) {
        send_page(sending);
    }
}

static int
needs_all(pps_dispatcher_t *dispatcher, const pps_upstream_state_t *state,
          const pps_gossip_peer_t *peer)
{
    pps_gossip_process_t process = {.incarnation = peer->state.incarnation};
    const pps_rollout_report_t *report;

    memcpy(process.host, peer->state.address, sizeof(process.host));
    report = pps_rollout_reports_lookup(&state->reports, &process);
    return report == NULL ||
           dispatcher->reactor->now_us - report->first_told_us < RECENT_US ||
           pps_rng_below(&dispatcher->rng, ALL_ONE_IN) == 0;
}

static void
send_ended(pps_dispatcher_t *dispatcher, const pps_upstream_state_t *state,
           pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    static sending_t sending;
    int64_t since_us = needs_all(dispatcher, state, peer)
                           ? 0
                           : dispatcher->reactor->now_us - RECENT_US;
    const pps_rollout_report_t *report;

    sending = (sending_t){.gossip = gossip, .peer = peer};
    memcpy(sending.page.upstream, state->rollout.upstream,
           sizeof(sending.page.upstream));
    memcpy(sending.page.target, state->rollout.target,
           sizeof(sending.page.target));
    cds_list_for_each_entry (report, &state->reports, node) {
        if (report->is_ended && report->changed_us >= since_us) {
            add_report(&sending, report);
        }
    }
    send_page(&sending);
}

static pps_upstream_state_t *
find_active(pps_dispatcher_t *dispatcher, const char *upstream,
            const char *target)
{
    pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, upstream);

    return state != NULL && state->rollout.state == PPS_ROLLOUT_ACTIVE &&
                   strcmp(state->rollout.target, target) == 0
               ? state
               : NULL;
}

void
pps_ended_counts_sync(pps_dispatcher_t *dispatcher, pps_gossip_t *gossip,
                      const pps_gossip_peer_t *peer,
                      const pps_gossip_rollout_t *items, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const pps_upstream_state_t *state = find_active(
            dispatcher, items[i].rollout.upstream, items[i].rollout.target);

        if (state != NULL && items[i].has_ended_digest &&
            items[i].ended_digest !=
                pps_rollout_reports_digest(&state->reports) &&
            pps_gossip_shares_ended_counts(gossip, peer)) {
            send_ended(dispatcher, state, gossip, peer);
        }
    }
}

void
pps_ended_counts_merge(pps_dispatcher_t *dispatcher,
                       const pps_gossip_t *gossip,
                       const pps_gossip_ended_counts_t *counts)
{
    pps_upstream_state_t *state =
        find_active(dispatcher, counts->upstream, counts->target);

    for (size_t i = 0; state != NULL && i < counts->count; i++) {
        if (!pps_gossip_is_own_process(gossip, &counts->items[i].process)) {
            pps_rollout_reports_note_ended(&state->reports, &counts->items[i],
                                           dispatcher->reactor->now_us);
        }
    }
}
