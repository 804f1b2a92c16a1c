/** @file rollout_play.c @brief Course of a play of a roll-out. */
#include "rollout_play_state.h"

#include "clock.h"
#include "names.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TARGET "v2"
#define STEP_MS 5

rollout_play_state_t rollout_play;

unsigned int
rollout_play_draw(unsigned int bound)
{
    return (unsigned int)pps_rng_below(&node_play->rng, bound);
}

void
rollout_play_find(const char *format, ...)
{
    va_list list;

    if (node_play->finding.text[0] != '\0') {
        return;
    }
    va_start(list, format);
    vsnprintf(node_play->finding.text, sizeof(node_play->finding.text), format,
              list);
    va_end(list);
}

pps_upstream_state_t *
rollout_play_upstream(unsigned int host)
{
    return pps_dispatcher_upstream(&node_play->hosts[host].node->dispatcher,
                                   ROLLOUT_PLAY_UPSTREAM);
}

/* Returns the state that the store states, as a word; "": none. */
const char *
rollout_play_read_status(void)
{
    static const char *const states[] = {"completed", "rolled_back", "active"};
    size_t size;
    const char *text = node_play_store_get(
        &size, PPS_TOPIC_STATUS, PPS_KEY_ROLLOUT ROLLOUT_PLAY_UPSTREAM);
    char value[256];

    snprintf(value, sizeof(value), "%.*s", text != NULL ? (int)size : 0,
             text != NULL ? text : "");
    for (size_t i = 0; i < sizeof(states) / sizeof(*states); i++) {
        if (strstr(value, states[i]) != NULL) {
            return states[i];
        }
    }
    return "";
}

int
rollout_play_is_in_touch(unsigned int host)
{
    const node_play_host_t *item = &node_play->hosts[host];

    return node_play->now_us >= item->cut_until_us &&
           node_play->now_us - rollout_play.back_us[host] >=
               ROLLOUT_PLAY_IN_TOUCH_US;
}

int
rollout_play_takes_callers(unsigned int host)
{
    return node_play_is_awake(&node_play->hosts[host]) &&
           pps_node_is_ready(node_play->hosts[host].node);
}

/* Notes disturbances, and ends hosts that have stopped. */
static void
step_hosts(void)
{
    for (unsigned int i = 0; i < rollout_play.options.hosts; i++) {
        const node_play_host_t *host = &node_play->hosts[i];

        if (node_play->now_us < host->frozen_until_us ||
            node_play->now_us < host->cut_until_us ||
            node_play->now_us < host->store_cut_until_us) {
            rollout_play.cut_us[i] = node_play->now_us;
        }
        if (host->node == NULL ||
            rollout_play.cut_us[i] == node_play->now_us) {
            rollout_play.back_us[i] = node_play->now_us;
        }
        if (rollout_play.kill_us[i] != 0 &&
            node_play->now_us >= rollout_play.kill_us[i]) {
            rollout_play.kill_us[i] = 0;
            node_play_kill(i, node_play_draw_us(200, 500));
        }
    }
}

void
rollout_play_run_until(int64_t ms)
{
    while (node_play_elapsed_ms() < ms && node_play->finding.text[0] == '\0') {
        node_play_run_until(node_play_elapsed_ms() + STEP_MS);
        step_hosts();
        rollout_play_step_sessions();
    }
}

void
rollout_play_write_order(void)
{
    char text[128];
    int size = snprintf(text, sizeof(text),
                        "{\"service\":\"" ROLLOUT_PLAY_UPSTREAM
                        "\",\"target\":\"" TARGET "\",\"duration_s\":%d}",
                        ROLLOUT_PLAY_DURATION_MS / 1000);

    node_play_store_append(PPS_TOPIC_OPERATOR,
                           PPS_KEY_ROLLOUT ROLLOUT_PLAY_UPSTREAM, text,
                           (size_t)size);
    if (rollout_play.ordered_us == 0) {
        rollout_play.ordered_us = node_play->now_us;
    }
}

void
rollout_play_run(const rollout_play_options_t *options, uint64_t seed)
{
    const node_play_options_t hosts = {options->name, options->hosts, 2, 8, 0};

    memset(&rollout_play, 0, sizeof(rollout_play));
    rollout_play.options = *options;
    node_play_start(&hosts, seed);
    for (unsigned int i = options->hosts - options->added; i < options->hosts;
         i++) {
        node_play->hosts[i].restart_us = INT64_MAX / 2;
    }
    for (size_t i = 0; i < ROLLOUT_PLAY_SESSIONS; i++) {
        rollout_play.sessions[i].digest = pps_rng_next(&node_play->rng);
    }
    rollout_play_run_until(ROLLOUT_PLAY_ORDER_MS);
    node_play_store_back_up();
    node_play->store.refuses_status = options->fault == ROLLOUT_PLAY_NO_STATUS;
    rollout_play_write_order();
    rollout_play_break_hosts();
    rollout_play_compare_hosts();
    rollout_play_run_until(ROLLOUT_PLAY_ORDER_MS + ROLLOUT_PLAY_DURATION_MS);
    rollout_play_check_promises(rollout_play_read_status());
}
