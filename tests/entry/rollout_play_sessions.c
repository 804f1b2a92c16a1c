/** @file rollout_play_sessions.c @brief Callers of a play of a roll-out. */
#include "rollout_play_state.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

/** Pause of a session between two requests, and the time that one takes. */
#define PAUSE_MIN_MS 150
#define PAUSE_MAX_MS 450
#define REQUEST_US (60 * PPS_US_PER_MS)
/** Time after which a session may be served by another version. */
#define SESSION_US (5 * PPS_US_PER_S)

/* Counts a request that leaves the version of the one before it. */
static void
check_session(const rollout_play_session_t *session, unsigned int host,
              int on_target)
{
    int is_early = node_play->now_us - rollout_play.ordered_us <
                   ROLLOUT_PLAY_DURATION_MS * PPS_US_PER_MS / 2;
    int is_back = session->is_moved && !on_target &&
                  !rollout_play.options.is_bad &&
                  strcmp(rollout_play_read_status(), "rolled_back") != 0;
    int is_ahead = !session->is_moved && on_target && is_early;

    if (session->ended_us != 0 &&
        node_play->now_us - session->ended_us < SESSION_US &&
        node_play->now_us - rollout_play.cut_us[host] >=
            ROLLOUT_PLAY_IN_TOUCH_US &&
        (is_back || is_ahead)) {
        rollout_play.pinned++;
        if (node_play->is_logging) {
            fprintf(stderr, "PINNED at host %u, %lld ms\n", host,
                    (long long)node_play_elapsed_ms());
        }
    }
}

static void
send_request(rollout_play_session_t *session, unsigned int host)
{
    pps_upstream_state_t *state = rollout_play_upstream(host);
    int on_target = pps_rollout_has_moved(&state->rollout, session->digest,
                                          node_play->now_us);
    int is_loaded = rollout_play_draw(3) == 0;

    check_session(session, host, on_target);
    state->tally.requests++;
    state->tally.exposed += on_target != 0;
    if (rollout_play_is_in_touch(host) &&
        node_play->now_us - rollout_play.ordered_us <
            ROLLOUT_PLAY_DURATION_MS * PPS_US_PER_MS) {
        rollout_play.sent += rollout_play.ordered_us != 0;
        rollout_play.exposed += on_target != 0;
    }
    rollout_play.run++;
    rollout_play.requests[rollout_play.request_count++] =
        (rollout_play_request_t){
            .due_us = node_play->now_us + REQUEST_US,
            .session = session,
            .host = host,
            .incarnation = node_play->hosts[host].incarnation,
            .on_target = on_target,
            .sample = {.on_target = on_target,
                       .is_loaded = is_loaded,
                       .is_light = !is_loaded,
                       .kind = session->digest % 2},
        };
}

static void
end_request(const rollout_play_request_t *request)
{
    const node_play_host_t *host = &node_play->hosts[request->host];
    int fails = request->on_target && rollout_play.options.is_bad &&
                rollout_play_draw(2) == 0;
    pps_upstream_state_t *state;

    request->session->ended_us = node_play->now_us;
    request->session->is_moved = request->on_target;
    if (host->node == NULL || host->incarnation != request->incarnation) {
        return;
    }
    state = rollout_play_upstream(request->host);
    pps_rollout_tally_score(&state->tally, &request->sample, 0);
    pps_rollout_tally_count(&state->tally, &request->sample,
                            fails ? PPS_ROLLOUT_FAILED : PPS_ROLLOUT_GOOD);
}

void
rollout_play_step_sessions(void)
{
    for (size_t i = 0; i < rollout_play.request_count;) {
        if (node_play->now_us >= rollout_play.requests[i].due_us) {
            end_request(&rollout_play.requests[i]);
            rollout_play.requests[i] =
                rollout_play.requests[--rollout_play.request_count];
        }
        else {
            i++;
        }
    }
    for (size_t i = 0; i < ROLLOUT_PLAY_SESSIONS; i++) {
        rollout_play_session_t *session = &rollout_play.sessions[i];
        unsigned int host = rollout_play_draw(rollout_play.options.hosts);

        if (node_play->now_us >= session->next_us &&
            rollout_play_takes_callers(host) &&
            rollout_play.request_count < ROLLOUT_PLAY_REQUESTS_MAX) {
            session->next_us = node_play->now_us +
                               node_play_draw_us(PAUSE_MIN_MS, PAUSE_MAX_MS);
            send_request(session, host);
        }
    }
}
