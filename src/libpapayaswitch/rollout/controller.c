/** @file controller.c @brief Coordinates roll-outs across hosts. */
#include "controller.h"

#include "clock.h"
#include "exchange/exchange_evidence.h"
#include "rollout_log.h"
#include "rollout_reports.h"
#include "rollout_view.h"

#include <string.h>

/** Sources of a change that are no other hosts. */
#define FROM_SELF "self"
#define FROM_STORE "store"
#define EVIDENCE_LOG_PERIOD_US (1 * PPS_US_PER_S)
/** Time for which other hosts are told how a roll-out has ended: since then,
 * or since one of them last took it for active. */
#define END_TOLD_US (10 * PPS_US_PER_S)
/** How much earlier than this host's a start is that a host tells which has
 * known the roll-out before: hosts that start together tell each other only
 * that they have just learned of it. */
#define STARTED_BEFORE_US (1 * PPS_US_PER_S)
/** Time for which a host joins a roll-out that others knew before. */
#define JOINING_US (1500 * PPS_US_PER_MS)
/** Time for which a roll-out must be due for completion before it is declared,
 * so that other hosts can object. */
#define OBJECTION_TIME_US (300 * PPS_US_PER_MS)

/* Returns whether the target gets no sessions any more, declared or not. */
static int
is_rolled_back(const pps_rollout_t *rollout)
{
    return rollout->state == PPS_ROLLOUT_ROLLED_BACK ||
           (rollout->state == PPS_ROLLOUT_ACTIVE && rollout->held);
}

/* Keeps what was decided on a target, as this host, another one or the store
 * says. */
static void
note_decision(pps_upstream_state_t *state, const pps_rollout_t *rollout)
{
    if (is_rolled_back(rollout)) {
        pps_version_set_add(&state->rolled_back, rollout->target);
    }
}

static void
tell_end(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state)
{
    state->told_until_us = dispatcher->reactor->now_us + END_TOLD_US;
}

/* Logs a change that rests on this host's counts and those that it was told.
 */
static void
log_change(const pps_dispatcher_t *dispatcher,
           const pps_upstream_state_t *state, const char *event,
           const char *from)
{
    const pps_rollout_source_t source = {
        .from = from,
        .now_us = dispatcher->reactor->now_us,
        .processes = 1 + pps_rollout_reports_count(&state->reports),
    };
    pps_rollout_tally_t sum;

    pps_rollout_controller_sum(&sum, state);
    pps_rollout_log(event, &state->rollout, &sum, &source);
}

/* Begins to collect what other hosts know of a roll-out. */
static void
learn(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state)
{
    state->knowledge =
        (pps_rollout_knowledge_t){.known_us = dispatcher->reactor->now_us};
}

/* Adopts a later state of the roll-out. Nothing is counted once it has ended.
 */
static void
advance(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state,
        pps_rollout_state_t new_state, const char *event, const char *from)
{
    if (new_state <= state->rollout.state) {
        return;
    }
    state->rollout.state = new_state;
    log_change(dispatcher, state, event, from);
    if (new_state != PPS_ROLLOUT_ACTIVE) {
        tell_end(dispatcher, state);
        pps_rollout_reports_clear(&state->reports);
    }
}

/* Records that the current roll-out is replaced by one to a new target, which
 * may have been superseded before. What was decided on the old target stays.
 */
static void
supersede(pps_upstream_state_t *state, const char *new_target)
{
    if (state->rollout.state != PPS_ROLLOUT_NONE) {
        pps_version_set_add(&state->superseded, state->rollout.target);
    }
    note_decision(state, &state->rollout);
    pps_version_set_remove(&state->superseded, new_target);
    pps_version_set_remove(&state->rolled_back, new_target);
    pps_rollout_reports_clear(&state->reports);
}

int
pps_rollout_controller_is_superseded(pps_dispatcher_t *dispatcher,
                                     const pps_rollout_t *order)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, order->upstream);

    return state != NULL &&
           pps_version_set_contains(&state->superseded, order->target);
}

void
pps_rollout_controller_apply_order(pps_dispatcher_t *dispatcher,
                                   const pps_rollout_t *order)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, order->upstream);

    if (state == NULL) {
        return;
    }
    if (strcmp(state->rollout.target, order->target) == 0) {
        /* The status arrived before the order. */
        if (state->rollout.duration_us == 0) {
            state->rollout.duration_us = order->duration_us;
        }
        return;
    }
    supersede(state, order->target);
    state->rollout = *order;
    pps_rollout_begin(&state->rollout, dispatcher->reactor->now_us);
    state->complete_since_us = 0;
    memset(&state->tally, 0, sizeof(state->tally));
    learn(dispatcher, state);
    log_change(dispatcher, state, "rollout_ordered", FROM_STORE);
}

void
pps_rollout_controller_apply_status(pps_dispatcher_t *dispatcher,
                                    const pps_rollout_t *status)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, status->upstream);

    if (state == NULL) {
        return;
    }
    if (pps_version_set_contains(&state->superseded, status->target)) {
        note_decision(state, status);
        return;
    }
    if (strcmp(state->rollout.target, status->target) != 0) {
        /* The status arrived before the order. */
        supersede(state, status->target);
        state->rollout = *status;
        state->rollout.started_us = dispatcher->reactor->now_us;
        learn(dispatcher, state);
        tell_end(dispatcher, state);
    }
    advance(dispatcher, state, status->state, "rollout_declared", FROM_STORE);
}

/* Returns whether this host has just learned of a roll-out that the other one
 * had known before. It takes the earliest start that it is told then, as the
 * first report may have been late. Later, and among hosts that learned of it
 * together, the start would move ever earlier. */
static int
is_joining(const pps_dispatcher_t *dispatcher,
           const pps_upstream_state_t *state, const pps_rollout_t *remote)
{
    int64_t known_us = state->knowledge.known_us;

    return known_us - remote->started_us >= STARTED_BEFORE_US &&
           dispatcher->reactor->now_us - known_us < JOINING_US;
}

/* Returns whether to act on another host's hold. Hosts of older builds, which
 * don't tell the reason, may have decided it on a part of the counts: a host
 * that knows all of them checks it. */
static int
is_hold_credible(const pps_dispatcher_t *dispatcher,
                 const pps_upstream_state_t *state,
                 const pps_rollout_t *remote)
{
    const pps_rollout_basis_t basis = {.bounds = dispatcher->options.rollout,
                                       .knows_all_hosts = 1};
    pps_rollout_tally_t sum;

    if (remote->hold_reason != PPS_ROLLOUT_HOLD_UNKNOWN ||
        !state->knowledge.is_complete || state->rollout.duration_us == 0) {
        return 1;
    }
    pps_rollout_controller_sum(&sum, state);
    return pps_rollout_supports_hold(&state->rollout, &sum, &basis,
                                     dispatcher->reactor->now_us);
}

static void
merge_remote(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state,
             const char *host, const pps_rollout_t *remote)
{
    pps_rollout_t *local = &state->rollout;

    advance(dispatcher, state, remote->state, "rollout_heard", host);
    if (local->state > remote->state) {
        tell_end(dispatcher, state);
    }
    if (remote->started_us < local->started_us &&
        is_joining(dispatcher, state, remote)) {
        local->started_us = remote->started_us;
    }
    pps_rollout_merge(local, remote);
    if (remote->held && !local->held &&
        is_hold_credible(dispatcher, state, remote)) {
        local->held = 1;
        local->hold_reason = remote->hold_reason;
        log_change(dispatcher, state, "rollout_held", host);
    }
}

static void
merge_report(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state,
             const pps_gossip_process_t *process,
             const pps_gossip_rollout_t *report)
{
    if (strcmp(state->rollout.target, report->rollout.target) != 0) {
        if (pps_version_set_contains(&state->superseded,
                                     report->rollout.target)) {
            note_decision(state, &report->rollout);
        }
        return;
    }
    merge_remote(dispatcher, state, process->host, &report->rollout);
    if (state->rollout.state == PPS_ROLLOUT_ACTIVE) {
        pps_rollout_reports_note(&state->reports, process, report,
                                 dispatcher->reactor->now_us);
    }
}

static void
merge_reports(const pps_dispatcher_t *dispatcher,
              const pps_gossip_process_t *process,
              const pps_gossip_rollout_t *reports, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        pps_upstream_state_t *state = pps_dispatcher_find_upstream(
            dispatcher, reports[i].rollout.upstream);

        if (state != NULL) {
            merge_report(dispatcher, state, process, &reports[i]);
        }
    }
}

void
pps_rollout_controller_merge_peer(pps_dispatcher_t *dispatcher,
                                  const pps_gossip_peer_t *peer)
{
    pps_gossip_process_t process = {.incarnation = peer->state.incarnation};

    memcpy(process.host, peer->state.address, sizeof(process.host));
    merge_reports(dispatcher, &process, peer->state.rollouts,
                  peer->state.rollout_count);
}

void
pps_rollout_controller_merge_rollouts(pps_dispatcher_t *dispatcher,
                                      const pps_gossip_peer_t *peer,
                                      const pps_gossip_rollouts_t *rollouts)
{
    pps_gossip_process_t process = {.incarnation = rollouts->incarnation};

    memcpy(process.host, rollouts->from, sizeof(process.host));
    if (process.incarnation == 0) {
        process.incarnation = peer->state.incarnation;
    }
    merge_reports(dispatcher, &process, rollouts->items, rollouts->count);
}

void
pps_rollout_controller_sum(pps_rollout_tally_t *out,
                           const pps_upstream_state_t *state)
{
    *out = state->tally;
    pps_rollout_reports_sum(out, &state->reports);
}

static void
log_evidence(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state,
             const pps_rollout_tally_t *sum, pps_gossip_t *gossip)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_rollout_view_t view;

    if (state->rollout.state != PPS_ROLLOUT_ACTIVE ||
        now_us < state->next_evidence_log_us) {
        return;
    }
    state->next_evidence_log_us = now_us + EVIDENCE_LOG_PERIOD_US;
    pps_rollout_view_all(&view, dispatcher, state, gossip);
    pps_rollout_log_evidence(&state->rollout, sum, &view);
}

int
pps_rollout_controller_knows_share(const pps_upstream_state_t *state,
                                   pps_gossip_t *gossip)
{
    pps_rollout_neighbours_t neighbours =
        pps_rollout_view_neighbours(state, gossip, state->knowledge.known_us);

    return neighbours.live > 0 && neighbours.untold == 0 &&
           state->knowledge.known_us - state->rollout.started_us >=
               STARTED_BEFORE_US;
}

/* Returns whether a completion can be declared: each live host has told of
 * this roll-out lately, none objects, and this has been so for a time. A hold
 * that arrives within that time wins. A host that tells nothing does not
 * agree. */
static int
is_unopposed(const pps_dispatcher_t *dispatcher, pps_upstream_state_t *state,
             pps_gossip_t *gossip, pps_rollout_verdict_t verdict)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_rollout_view_t view = {0};

    if (verdict == PPS_ROLLOUT_COMPLETE) {
        pps_rollout_view_peers(&view, state, gossip, now_us);
    }
    if (verdict != PPS_ROLLOUT_COMPLETE || view.unheard_hosts > 0) {
        state->complete_since_us = 0;
        return 0;
    }
    if (state->complete_since_us == 0) {
        state->complete_since_us = now_us;
    }
    return now_us - state->complete_since_us >= OBJECTION_TIME_US;
}

pps_rollout_verdict_t
pps_rollout_controller_step(pps_dispatcher_t *dispatcher,
                            pps_upstream_state_t *state, pps_gossip_t *gossip)
{
    pps_rollout_tally_t sum;
    unsigned int old_share = state->rollout.share;
    unsigned int old_next_share = state->rollout.next_share;
    int old_held = state->rollout.held;
    pps_rollout_basis_t basis = {
        .bounds = dispatcher->options.rollout,
        .running = pps_rollout_view_count_running(dispatcher, state),
    };
    pps_rollout_neighbours_t neighbours;
    pps_rollout_verdict_t verdict;

    pps_exchange_evidence_count_waiting(dispatcher, state);
    pps_rollout_reports_review(&state->reports, gossip,
                               dispatcher->reactor->now_us);
    neighbours = pps_rollout_view_neighbours(state, gossip,
                                             dispatcher->reactor->now_us);
    pps_rollout_knowledge_update(&state->knowledge, &neighbours,
                                 dispatcher->reactor->now_us);
    basis.knows_all_hosts = state->knowledge.is_complete;
    basis.is_cut_off = pps_rollout_knowledge_is_cut_off(&neighbours);
    pps_rollout_controller_sum(&sum, state);
    log_evidence(dispatcher, state, &sum, gossip);
    verdict = pps_rollout_step(&state->rollout, &sum, &basis,
                               dispatcher->reactor->now_us);
    if (old_held != state->rollout.held) {
        log_change(dispatcher, state, "rollout_held", FROM_SELF);
        pps_gossip_send_state(gossip);
    }
    if (old_next_share != state->rollout.next_share) {
        log_change(dispatcher, state, "rollout_planned", FROM_SELF);
        pps_gossip_send_state(gossip);
    }
    if (old_share != state->rollout.share) {
        log_change(dispatcher, state, "rollout_step", FROM_SELF);
    }
    if (!is_unopposed(dispatcher, state, gossip, verdict) &&
        verdict == PPS_ROLLOUT_COMPLETE) {
        return PPS_ROLLOUT_CONTINUE;
    }
    return verdict;
}
