/** @file rollout_play_faults.c @brief Faults of a play of a roll-out. */
#include "rollout_play_state.h"

#include "clock.h"

/** Times after the order at which faults begin, and the time before the end of
 * the duration at which they end. */
#define FAULTS_FROM_MS 4000
#define FAULTS_TO_MS 14000
#define CALM_MS 7000
/** The same for faults that are to meet sessions on the target. */
#define MOVED_FROM_MS 12500
#define MOVED_TO_MS 16000
/** Time that a host takes to stop, and between the stops of two. */
#define STOP_US (2900 * PPS_US_PER_MS)
#define TURN_MS 3000
/** Time that hosts have to agree after the last fault. */
#define AGREE_MS 3000

/* Stops a host as planned work does: it leaves, then starts again. */
static void
restart(unsigned int host)
{
    if (rollout_play_takes_callers(host) && rollout_play.kill_us[host] == 0) {
        node_play_select(host);
        pps_node_stop(node_play->hosts[host].node);
        rollout_play.kill_us[host] = node_play->now_us + STOP_US;
    }
}

static unsigned int
draw_host(void)
{
    return rollout_play_draw(rollout_play.options.hosts -
                             rollout_play.options.added);
}

static void
kill_for_good(void)
{
    unsigned int host = draw_host();
    unsigned int running = 0;

    for (unsigned int i = 0; i < rollout_play.options.hosts; i++) {
        running += node_play->hosts[i].node != NULL;
    }
    if (running > rollout_play.options.hosts / 2) {
        node_play_kill(host, INT64_MAX / 2);
    }
}

static void
kill_all(void)
{
    for (unsigned int i = 0; i < rollout_play.options.hosts; i++) {
        node_play_kill(i, node_play_draw_us(200, 1000));
    }
}

static void
add_host(void)
{
    for (unsigned int i =
             rollout_play.options.hosts - rollout_play.options.added;
         i < rollout_play.options.hosts; i++) {
        if (node_play->hosts[i].node == NULL &&
            node_play->hosts[i].restart_us > node_play->now_us) {
            node_play->hosts[i].restart_us = node_play->now_us;
            return;
        }
    }
}

/* The store loses what was written lately; the operator writes again. */
static void
restore(void)
{
    node_play_store_restore();
    rollout_play_run_until(node_play_elapsed_ms() + 500);
    rollout_play_write_order();
}

static void
break_anything(void)
{
    node_play_host_t *host = &node_play->hosts[draw_host()];
    enum { STOP, KILL, ADD, CUT, PAUSE, LOSE, OUTAGE, REFUSE, ACTS };

    switch (rollout_play_draw(ACTS)) {
    case STOP:
        restart((unsigned int)(host - node_play->hosts));
        break;
    case KILL:
        node_play_kill((unsigned int)(host - node_play->hosts),
                       node_play_draw_us(200, 2000));
        break;
    case ADD:
        add_host();
        break;
    case CUT:
        host->cut_until_us = node_play->now_us + node_play_draw_us(300, 5000);
        break;
    case PAUSE:
        host->frozen_until_us =
            node_play->now_us + node_play_draw_us(200, 2000);
        break;
    case LOSE:
        node_play->loss = 0.3;
        node_play->lossy_until_us =
            node_play->now_us + node_play_draw_us(500, 3000);
        break;
    case OUTAGE:
        node_play_store_stop(node_play_draw_us(300, 3000), 0);
        break;
    default:
        host->store_cut_until_us =
            node_play->now_us + node_play_draw_us(500, 4000);
        break;
    }
}

/* Lets one fault happen. @return the time until the next one; 0: no more */
static int64_t
break_something(void)
{
    switch (rollout_play.options.fault) {
    case ROLLOUT_PLAY_NOTHING:
        return 0;
    case ROLLOUT_PLAY_RESTARTS:
        restart(draw_host());
        return 0;
    case ROLLOUT_PLAY_TWO_RESTARTS:
        rollout_play.next_turn = draw_host();
        restart(rollout_play.next_turn);
        restart((rollout_play.next_turn + 1) % rollout_play.options.hosts);
        return 0;
    case ROLLOUT_PLAY_TURNS:
        restart(rollout_play.next_turn++);
        return rollout_play.next_turn < rollout_play.options.hosts ? TURN_MS
                                                                   : 0;
    case ROLLOUT_PLAY_KILLS:
        node_play_kill(draw_host(), node_play_draw_us(200, 2000));
        return TURN_MS;
    case ROLLOUT_PLAY_LOSSES:
        kill_for_good();
        return TURN_MS;
    case ROLLOUT_PLAY_ADDITIONS:
        add_host();
        return 1000;
    case ROLLOUT_PLAY_HERD:
        kill_all();
        return 0;
    case ROLLOUT_PLAY_OUTAGE:
    case ROLLOUT_PLAY_NO_STATUS:
        node_play_store_stop(node_play_draw_us(2000, 4000), 0);
        node_play_kill(draw_host(), node_play_draw_us(200, 700));
        add_host();
        return 0;
    case ROLLOUT_PLAY_RESTORE:
        restore();
        restart(draw_host());
        return 0;
    case ROLLOUT_PLAY_ANYTHING:
        break_anything();
        return node_play_draw_us(200, 2000) / PPS_US_PER_MS;
    }
    return 0;
}

/* Draws when the faults begin, after the order. */
static int64_t
draw_start_ms(void)
{
    switch (rollout_play.options.fault) {
    case ROLLOUT_PLAY_TURNS:
        return FAULTS_FROM_MS;
    case ROLLOUT_PLAY_OUTAGE:
    case ROLLOUT_PLAY_NO_STATUS:
    case ROLLOUT_PLAY_HERD:
        return node_play_draw_us(MOVED_FROM_MS, MOVED_TO_MS) / PPS_US_PER_MS;
    default:
        return node_play_draw_us(FAULTS_FROM_MS, FAULTS_TO_MS) / PPS_US_PER_MS;
    }
}

void
rollout_play_break_hosts(void)
{
    int64_t end_ms =
        ROLLOUT_PLAY_ORDER_MS + ROLLOUT_PLAY_DURATION_MS - CALM_MS;
    int64_t pause_ms = 1;

    rollout_play_run_until(ROLLOUT_PLAY_ORDER_MS + draw_start_ms());
    while (pause_ms > 0 && node_play_elapsed_ms() < end_ms &&
           node_play->finding.text[0] == '\0') {
        pause_ms = break_something();
        rollout_play_run_until(node_play_elapsed_ms() + pause_ms);
    }
    rollout_play_run_until(end_ms);
    node_play->loss = 0;
    node_play->store.down_until_us = 0;
    node_play->store.refuses_status = 0;
    for (unsigned int i = 0; i < rollout_play.options.hosts; i++) {
        node_play->hosts[i].cut_until_us = 0;
        node_play->hosts[i].store_cut_until_us = 0;
    }
    rollout_play_run_until(end_ms + AGREE_MS);
}
