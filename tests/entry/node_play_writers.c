/** @file node_play_writers.c @brief The workers and the operator of a play of
 * hosts, which write to its store. */
#include "node_play.h"

#include "clock.h"
#include "names.h"

#include <stdio.h>
#include <string.h>

/** Interval of a worker's writes, and the silence after which its entry
 * expires. */
#define BEAT_US (1200 * PPS_US_PER_MS)
#define EXPIRY_US (3 * BEAT_US)
/** Time within which workers write again what an outage let expire. */
#define BACK_MAX_MS 1500
/** Time for which a leaving worker serves on. */
#define LEAVING_MIN_MS 2000
#define LEAVING_MAX_MS 4000
#define PORT_FIRST 10000

static void
write_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];
    char key[NODE_PLAY_TEXT_BYTES];
    char value[512];
    int size;

    snprintf(key, sizeof(key), "worker-%02u", index);
    size = snprintf(
        value, sizeof(value),
        "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%u\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"sequence\":%u,"
        "\"born\":%lld}",
        worker->port, index % node_play->options.domains,
        worker->is_leaving ? "draining" : "ready", worker->sequence++,
        (long long)worker->start_ms);
    node_play_store_append(PPS_TOPIC_WORKERS, key, value, (size_t)size);
    worker->written_us = node_play->now_us;
    worker->next_beat_us = node_play->now_us + BEAT_US;
}

static void
delete_worker(unsigned int index)
{
    char key[NODE_PLAY_TEXT_BYTES];
    size_t size;

    snprintf(key, sizeof(key), "worker-%02u", index);
    if (node_play_store_get(&size, PPS_TOPIC_WORKERS, key) != NULL) {
        node_play_store_append(PPS_TOPIC_WORKERS, key, NULL, 0);
    }
}

/* Starts a worker anew, at its address or another one. */
static void
start_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];

    if (worker->port == 0 || pps_rng_below(&node_play->rng, 2) == 0) {
        worker->port = PORT_FIRST + node_play->ports++;
    }
    worker->is_running = 1;
    worker->is_leaving = 0;
    worker->stops_us = 0;
    worker->lapses_us = 0;
    worker->next_beat_us = 0;
    worker->sequence = 0;
    worker->start_ms = pps_clock_wall_us() / PPS_US_PER_MS;
}

static void
step_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];
    int64_t now_us = node_play->now_us;

    if (worker->lapses_us != 0 && now_us >= worker->lapses_us) {
        worker->lapses_us = 0;
        worker->next_beat_us =
            node_play->store.down_until_us + node_play_draw_us(0, BACK_MAX_MS);
        delete_worker(index);
    }
    if (node_play_store_is_down()) {
        return;
    }
    if (worker->stops_us != 0 && now_us >= worker->stops_us) {
        worker->stops_us = 0;
        worker->is_running = 0;
        delete_worker(index);
    }
    else if (worker->is_running && now_us >= worker->next_beat_us) {
        write_worker(index);
    }
    else if (now_us - worker->written_us >= EXPIRY_US) {
        worker->written_us = now_us;
        delete_worker(index);
    }
}

void
node_play_change_worker(void)
{
    unsigned int index = (unsigned int)pps_rng_below(
        &node_play->rng, node_play->options.workers);
    node_play_worker_t *worker = &node_play->workers[index];
    enum { RESTARTS, LEAVES, GOES, DIES, ACTS };

    if (node_play_store_is_down()) {
        return;
    }
    if (!worker->is_running) {
        start_worker(index);
        return;
    }
    switch (pps_rng_below(&node_play->rng, ACTS)) {
    case RESTARTS:
        start_worker(index);
        break;
    case LEAVES:
        worker->is_leaving = 1;
        worker->stops_us = node_play->now_us +
                           node_play_draw_us(LEAVING_MIN_MS, LEAVING_MAX_MS);
        worker->next_beat_us = node_play->now_us;
        break;
    case GOES:
        worker->is_running = 0;
        delete_worker(index);
        break;
    default:
        worker->is_running = 0;
        break;
    }
}

static void
write_config(void)
{
    char text[512];
    int size = snprintf(
        text, sizeof(text),
        "{\"version\":%lld,\"services\":[{\"name\":\"pool\"}],\"routes\":[{"
        "\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":"
        "\"safe\",\"service\":\"pool\",\"max_attempts\":3,\"timeout_ms\":2000}"
        "],\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},\"tenants\":[]}",
        (long long)node_play->orders.revision);

    node_play_store_append(PPS_TOPIC_OPERATOR, PPS_KEY_CONFIG, text,
                           (size_t)size);
}

static void
write_evacuation(void)
{
    static const char order[] = "{\"zone\":\"z0\"}";

    node_play_store_append(PPS_TOPIC_OPERATOR, PPS_KEY_EVACUATE "z0",
                           node_play->orders.evacuates ? order : NULL,
                           node_play->orders.evacuates ? strlen(order) : 0);
}

void
node_play_change_operator(void)
{
    if (node_play_store_is_down() || node_play->orders.rewrites_us != 0) {
        return;
    }
    if (pps_rng_below(&node_play->rng, 2) == 0) {
        node_play->orders.evacuates = !node_play->orders.evacuates;
        write_evacuation();
    }
    else {
        node_play->orders.revision++;
        write_config();
    }
}

/* After a restore the operator writes again what it has written last. */
static void
step_operator(void)
{
    node_play_orders_t *orders = &node_play->orders;

    if (orders->rewrites_us == 0 || node_play_store_is_down() ||
        node_play->now_us < orders->rewrites_us) {
        return;
    }
    orders->rewrites_us = 0;
    write_config();
    write_evacuation();
}

void
node_play_step_writers(void)
{
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        step_worker(i);
    }
    step_operator();
}

void
node_play_draw_lapses(int64_t duration_us)
{
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        if (pps_rng_below(&node_play->rng, 2) == 0) {
            node_play->workers[i].lapses_us =
                node_play->now_us +
                (int64_t)pps_rng_below(&node_play->rng, (uint64_t)duration_us);
        }
    }
}

void
node_play_write_again(void)
{
    node_play->orders.rewrites_us =
        node_play->now_us + node_play_draw_us(0, BACK_MAX_MS);
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        node_play->workers[i].written_us = node_play->now_us;
    }
}

void
node_play_start_writers(void)
{
    node_play->orders.revision = 1;
    write_config();
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        start_worker(i);
        node_play->workers[i].next_beat_us =
            node_play->now_us + node_play_draw_us(0, 1000);
        node_play->workers[i].written_us = node_play->now_us;
    }
}
