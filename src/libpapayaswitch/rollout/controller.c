/** @file controller.c @brief Coordinates roll-outs across hosts. */
#include "controller.h"

#include "clock.h"
#include "logger.h"

#include <string.h>
#include <xxhash.h>

static void
log_rollout(const char *event, const pps_rollout_t *rollout,
            const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = {0};
    pps_rollout_count_t baseline = {0};

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        target.answers += tally->target[i].answers;
        target.failures += tally->target[i].failures;
        baseline.answers += tally->baseline[i].answers;
        baseline.failures += tally->baseline[i].failures;
    }
    pps_logger_write(
        PPS_LOG_WARN, event,
        PPS_FIELDS(
            PPS_STR("upstream", rollout->upstream),
            PPS_STR("target", rollout->target),
            PPS_INT("state", rollout->state), PPS_INT("share", rollout->share),
            PPS_INT("duration_ms", rollout->duration_us / PPS_US_PER_MS),
            PPS_INT("next_share", rollout->next_share),
            PPS_INT("next_age_ms", rollout->next_age_us / PPS_US_PER_MS),
            PPS_INT("requests", tally->requests),
            PPS_INT("exposed", tally->exposed),
            PPS_INT("target_answers", target.answers),
            PPS_INT("target_failures", target.failures),
            PPS_INT("before_answers", baseline.answers),
            PPS_INT("before_failures", baseline.failures)));
}

static uint64_t
digest_target(const char *target)
{
    return XXH64(target, strlen(target), 0);
}

static int
is_superseded(const pps_upstream_state_t *state, const char *target)
{
    uint64_t digest = digest_target(target);

    for (size_t i = 0; i < PPS_DISPATCH_SUPERSEDED_MAX; i++) {
        if (state->superseded[i] == digest) {
            return 1;
        }
    }
    return 0;
}

/* Records that the current roll-out is replaced by one to a new target, which
 * may have been superseded before. */
static void
supersede(pps_upstream_state_t *state, const char *new_target)
{
    uint64_t digest = digest_target(new_target);

    for (size_t i = 0; i < PPS_DISPATCH_SUPERSEDED_MAX; i++) {
        if (state->superseded[i] == digest) {
            state->superseded[i] = 0;
        }
    }
    if (state->rollout.state != PPS_ROLLOUT_NONE) {
        state->superseded[state->superseded_next++ %
                          PPS_DISPATCH_SUPERSEDED_MAX] =
            digest_target(state->rollout.target);
    }
}

int
pps_rollout_controller_is_superseded(pps_dispatcher_t *dispatcher,
                                     const pps_rollout_t *order)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, order->upstream);

    return state != NULL && is_superseded(state, order->target);
}

void
pps_rollout_controller_apply_order(pps_dispatcher_t *dispatcher,
                                   const pps_rollout_t *order)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, order->upstream);

    if (state == NULL || strcmp(state->rollout.target, order->target) == 0) {
        return;
    }
    supersede(state, order->target);
    state->rollout = *order;
    pps_rollout_begin(&state->rollout, dispatcher->reactor->now_us);
    memset(&state->tally, 0, sizeof(state->tally));
    log_rollout("rollout_ordered", &state->rollout, &state->tally);
}

void
pps_rollout_controller_apply_status(pps_dispatcher_t *dispatcher,
                                    const pps_rollout_t *status)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, status->upstream);

    if (state == NULL || is_superseded(state, status->target)) {
        return;
    }
    if (strcmp(state->rollout.target, status->target) != 0) {
        /* The status arrived before the order. */
        supersede(state, status->target);
        state->rollout = *status;
        state->rollout.started_us = dispatcher->reactor->now_us;
    }
    if (status->state > state->rollout.state) {
        state->rollout.state = status->state;
        log_rollout("rollout_declared", &state->rollout, &state->tally);
    }
}

static void
merge_remote(pps_upstream_state_t *state, const pps_rollout_t *remote)
{
    pps_rollout_t *local = &state->rollout;

    if (remote->state > local->state) {
        local->state = remote->state;
        log_rollout("rollout_heard", local, &state->tally);
    }
    pps_rollout_merge(local, remote);
    if (remote->held && !local->held) {
        local->held = 1;
        log_rollout("rollout_held", local, &state->tally);
    }
}

void
pps_rollout_controller_merge_peer(pps_dispatcher_t *dispatcher,
                                  const pps_gossip_peer_t *peer)
{
    for (size_t i = 0; i < peer->state.rollout_count; i++) {
        const pps_rollout_t *remote = &peer->state.rollouts[i].rollout;
        pps_upstream_state_t *state =
            pps_dispatcher_upstream(dispatcher, remote->upstream);

        if (state != NULL &&
            strcmp(state->rollout.target, remote->target) == 0) {
            merge_remote(state, remote);
        }
    }
}

static void
add_peer(pps_rollout_tally_t *out, const pps_rollout_t *rollout,
         const pps_gossip_peer_t *peer)
{
    for (size_t i = 0; i < peer->state.rollout_count; i++) {
        const pps_gossip_rollout_t *item = &peer->state.rollouts[i];

        if (strcmp(item->rollout.upstream, rollout->upstream) == 0 &&
            strcmp(item->rollout.target, rollout->target) == 0) {
            pps_rollout_tally_add(out, &item->tally);
        }
    }
}

void
pps_rollout_controller_sum(pps_rollout_tally_t *out,
                           const pps_upstream_state_t *state,
                           pps_gossip_t *gossip)
{
    pps_gossip_peer_t *peer;

    *out = state->tally;
    cds_list_for_each_entry (peer, pps_gossip_peers(gossip), node) {
        add_peer(out, &state->rollout, peer);
    }
}

pps_rollout_verdict_t
pps_rollout_controller_step(pps_dispatcher_t *dispatcher,
                            pps_upstream_state_t *state, pps_gossip_t *gossip)
{
    pps_rollout_tally_t sum;
    unsigned int old_share = state->rollout.share;
    unsigned int old_next_share = state->rollout.next_share;
    int old_held = state->rollout.held;
    pps_rollout_verdict_t verdict;

    pps_rollout_controller_sum(&sum, state, gossip);
    verdict =
        pps_rollout_step(&state->rollout, &sum, &dispatcher->options.rollout,
                         dispatcher->reactor->now_us);
    if (old_held != state->rollout.held) {
        log_rollout("rollout_held", &state->rollout, &sum);
        pps_gossip_send_state(gossip);
    }
    if (old_next_share != state->rollout.next_share) {
        log_rollout("rollout_planned", &state->rollout, &sum);
        pps_gossip_send_state(gossip);
    }
    if (old_share != state->rollout.share) {
        log_rollout("rollout_step", &state->rollout, &sum);
    }
    return verdict;
}

void
pps_rollout_controller_export(const pps_dispatcher_t *dispatcher,
                              pps_gossip_state_t *out)
{
    out->rollout_count = 0;
    for (size_t i = 0; i < dispatcher->upstream_count; i++) {
        const pps_upstream_state_t *state = &dispatcher->upstreams[i];

        if (state->rollout.state == PPS_ROLLOUT_NONE ||
            out->rollout_count == PPS_GOSSIP_ROLLOUTS) {
            continue;
        }
        out->rollouts[out->rollout_count].rollout = state->rollout;
        out->rollouts[out->rollout_count].tally = state->tally;
        out->rollout_count++;
    }
}
