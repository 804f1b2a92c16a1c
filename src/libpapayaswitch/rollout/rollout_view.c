/** @file rollout_view.c @brief Looks at exchanges, workers and other hosts. */
#include "rollout_view.h"

#include "clock.h"
#include "exchange/exchange.h"
#include "rollout_reports.h"

#include <string.h>

/** Age from which a report no longer tells what its host thinks now: some
 * datagrams in a row may be lost. */
#define REPORT_AGE_MAX_US (1500 * PPS_US_PER_MS)
/** Time for which a process that is not heard any more counts as lost, rather
 * than as one that is gone. */
#define LOST_LATELY_US (10 * PPS_US_PER_S)

static void
view_exchanges(pps_rollout_view_t *out, const pps_dispatcher_t *dispatcher,
               const pps_upstream_state_t *state)
{
    const pps_exchange_t *exchange;

    cds_list_for_each_entry (exchange, &dispatcher->exchanges, node) {
        int64_t wait_us = dispatcher->reactor->now_us - exchange->sent_us;

        if (exchange->upstream_state != state || !exchange->on_target ||
            exchange->attempt != PPS_ATTEMPT_SENT) {
            continue;
        }
        out->waiting++;
        if (wait_us > out->longest_wait_us) {
            out->longest_wait_us = wait_us;
        }
    }
}

static void
view_workers(pps_rollout_view_t *out, const pps_dispatcher_t *dispatcher,
             const pps_upstream_state_t *state)
{
    const pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        double load =
            pps_pool_worker_load(worker, dispatcher->reactor->now_us);

        if (strcmp(worker->info.upstream, state->name) == 0 &&
            strcmp(worker->info.version, state->rollout.target) == 0 &&
            load > out->target_load) {
            out->target_load = load;
        }
    }
}

double
pps_rollout_view_count_running(const pps_dispatcher_t *dispatcher,
                               const pps_upstream_state_t *state)
{
    const pps_pool_worker_t *worker;
    double running = 0;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (worker->listed &&
            strcmp(worker->info.upstream, state->name) == 0) {
            running +=
                pps_pool_worker_busy(worker, dispatcher->reactor->now_us, 1);
        }
    }
    return running;
}

void
pps_rollout_view_peers(pps_rollout_view_t *out,
                       const pps_upstream_state_t *state, pps_gossip_t *gossip,
                       int64_t now_us)
{
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, pps_gossip_peers(gossip), node) {
        int64_t age_us = now_us - pps_rollout_reports_told_us(&state->reports,
                                                              &peer->state);

        if (!pps_gossip_is_live(gossip, peer)) {
            continue;
        }
        if (age_us > out->oldest_report_us) {
            out->oldest_report_us = age_us;
        }
        out->unheard_hosts += age_us > REPORT_AGE_MAX_US;
    }
}

void
pps_rollout_view_all(pps_rollout_view_t *out,
                     const pps_dispatcher_t *dispatcher,
                     const pps_upstream_state_t *state, pps_gossip_t *gossip)
{
    *out = (pps_rollout_view_t){0};
    view_exchanges(out, dispatcher, state);
    view_workers(out, dispatcher, state);
    pps_rollout_view_peers(out, state, gossip, dispatcher->reactor->now_us);
}

/* Adds what a live peer has told of the roll-out. */
static void
view_neighbour(pps_rollout_neighbours_t *out,
               const pps_upstream_state_t *state, const pps_gossip_t *gossip,
               const pps_gossip_peer_t *peer)
{
    pps_gossip_process_t process = {.incarnation = peer->state.incarnation};
    const pps_rollout_report_t *report;

    memcpy(process.host, peer->state.address, sizeof(process.host));
    report = pps_rollout_reports_lookup(&state->reports, &process);
    out->live++;
    if (report == NULL || report->told_us == 0) {
        out->untold++;
    }
    else if (report->has_ended_digest &&
             pps_gossip_shares_ended_counts(gossip, peer) &&
             report->ended_digest !=
                 pps_rollout_reports_digest(&state->reports)) {
        out->differing++;
    }
}

pps_rollout_neighbours_t
pps_rollout_view_neighbours(const pps_upstream_state_t *state,
                            pps_gossip_t *gossip, int64_t now_us)
{
    pps_rollout_neighbours_t neighbours = {.hears_all =
                                               pps_gossip_hears_all(gossip)};
    unsigned int expected = pps_gossip_count_live_hosts(gossip) - 1;
    const pps_rollout_report_t *report;
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, pps_gossip_peers(gossip), node) {
        if (pps_gossip_is_live(gossip, peer)) {
            view_neighbour(&neighbours, state, gossip, peer);
        }
    }
    if (expected > neighbours.live) {
        neighbours.untold += expected - neighbours.live;
        neighbours.live = expected;
    }
    cds_list_for_each_entry (report, &state->reports, node) {
        neighbours.lost += report->is_ended && report->told_us != 0 &&
                           now_us - report->told_us < LOST_LATELY_US;
    }
    return neighbours;
}
