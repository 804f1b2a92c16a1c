/** @file node_play.c @brief Hosts and time of a play of hosts. */
#include "node_play.h"

#include "clock.h"
#include "counters.h"
#include "logger.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_US (1000 * PPS_US_PER_S)
#define WALL_US (INT64_C(1790000000) * PPS_US_PER_S)
#define STEP_US PPS_US_PER_MS
#define COMPARE_PERIOD_MS 50

node_play_t *node_play;

int64_t
__wrap_pps_clock_now_us(void);
int64_t
__wrap_pps_clock_wall_us(void);
uint64_t
__wrap_pps_rng_system_seed(void);

int64_t
__wrap_pps_clock_now_us(void)
{
    return node_play != NULL ? node_play->now_us : START_US;
}

int64_t
__wrap_pps_clock_wall_us(void)
{
    return WALL_US + __wrap_pps_clock_now_us();
}

uint64_t
__wrap_pps_rng_system_seed(void)
{
    return node_play->next_seed++;
}

int64_t
node_play_elapsed_ms(void)
{
    return (node_play->now_us - START_US) / PPS_US_PER_MS;
}

int64_t
node_play_draw_us(int64_t min_ms, int64_t max_ms)
{
    return PPS_US_PER_MS *
           (min_ms + (int64_t)pps_rng_below(&node_play->rng,
                                            (uint64_t)(max_ms - min_ms + 1)));
}

/* Lets the lines of the log name the host and the time, if they are wanted. */
static void
set_up_log(const char *host)
{
    char label[NODE_PLAY_TEXT_BYTES];

    snprintf(label, sizeof(label), "%s@%lld", host,
             (long long)node_play_elapsed_ms());
    pps_logger_setup(
        PPS_LOG_KEY_VALUE,
        getenv("PPS_PLAY_LOG") != NULL ? PPS_LOG_INFO : PPS_LOG_ERROR, label);
}

void
node_play_select(unsigned int host)
{
    node_play->running = host;
    node_play->hosts[host].node->reactor.now_us = node_play->now_us;
    if (node_play->is_logging) {
        set_up_log(node_play->hosts[host].address);
    }
}

int
node_play_find_address(const char *address)
{
    size_t size = strcspn(address, ":");

    for (unsigned int i = 0; i < node_play->options.hosts; i++) {
        const char *known = node_play->hosts[i].address;

        if (strlen(known) == size && strncmp(known, address, size) == 0) {
            return (int)i;
        }
    }
    return -1;
}

int
node_play_is_awake(const node_play_host_t *host)
{
    return host->node != NULL && node_play->now_us >= host->frozen_until_us;
}

static pps_host_settings_t
make_settings(unsigned int index)
{
    pps_host_settings_t settings = {.config_ms = 3000,
                                    .drain_ms = 3000,
                                    .grace_s = 3,
                                    .link_mbps = index % 3 == 0 ? 200 : 10,
                                    .memory_mb = 128,
                                    .repeat_ratio = 1,
                                    .repeat_window_s = 10,
                                    .exposure_share = 0.1,
                                    .exposure_more = 20,
                                    .seed_count = 1};
    const char *address = node_play->hosts[index].address;

    snprintf(settings.host_id, sizeof(settings.host_id), "host-%02u", index);
    snprintf(settings.address, sizeof(settings.address), "%s", address);
    snprintf(settings.failure_domain, sizeof(settings.failure_domain), "z%u",
             index % node_play->options.domains);
    snprintf(settings.callers_listen, sizeof(settings.callers_listen), "%s:0",
             address);
    snprintf(settings.readiness_listen, sizeof(settings.readiness_listen),
             "%s:0", address);
    snprintf(settings.peers_listen, sizeof(settings.peers_listen), "%s:0",
             address);
    snprintf(settings.seeds[0], sizeof(settings.seeds[0]), "%s",
             node_play->hosts[0].address);
    snprintf(settings.store_address, sizeof(settings.store_address), "%s",
             NODE_PLAY_STORE);
    return settings;
}

static void
start_host(unsigned int index)
{
    node_play_host_t *host = &node_play->hosts[index];
    pps_host_settings_t settings = make_settings(index);
    pps_node_t *node;

    node_play->running = index;
    host->restart_us = 0;
    host->incarnation++;
    cr_assert_eq(pps_node_new(&node, &settings, "none"), 0);
    host->node = node;
    node_play_connect(index);
}

static void
close_handle(uv_handle_t *handle, void *user)
{
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

/* Ends a host. Its memory stays: hosts end with their process. */
static void
end_host(node_play_host_t *host)
{
    uv_loop_t *loop = &host->node->reactor.loop;

    uv_walk(loop, close_handle, NULL);
    uv_run(loop, UV_RUN_DEFAULT);
    uv_loop_close(loop);
    host->node = NULL;
}

void
node_play_kill(unsigned int index, int64_t down_us)
{
    node_play_host_t *host = &node_play->hosts[index];

    if (host->node != NULL) {
        end_host(host);
    }
    host->restart_us = node_play->now_us + down_us;
}

void
node_play_start(const node_play_options_t *options, uint64_t seed)
{
    node_play = calloc(1, sizeof(*node_play));
    cr_assert_not_null(node_play);
    node_play->is_logging = getenv("PPS_PLAY_LOG") != NULL;
    node_play->options = *options;
    node_play->now_us = START_US;
    set_up_log("-");
    node_play->next_seed = seed * 1000;
    node_play->missed_before =
        pps_counter_sum(PPS_COUNTER_ENTRY_RECORDS_MISSED);
    pps_rng_init(&node_play->rng, seed);
    node_play_store_start();
    for (unsigned int i = 0; i < options->hosts; i++) {
        snprintf(node_play->hosts[i].address, NODE_PLAY_TEXT_BYTES,
                 "127.1.0.%u", i + 1);
        node_play->hosts[i].restart_us = START_US + node_play_draw_us(0, 300);
    }
}

void
node_play_end(void)
{
    for (unsigned int i = 0; i < node_play->options.hosts; i++) {
        if (node_play->hosts[i].node != NULL) {
            end_host(&node_play->hosts[i]);
        }
    }
    node_play_drop_events();
    node_play_store_end();
    free(node_play);
    node_play = NULL;
}

void
node_play_calm(void)
{
    node_play->loss = 0;
    node_play->calm_us = node_play->now_us;
    node_play->store.down_until_us = 0;
    for (unsigned int i = 0; i < node_play->options.hosts; i++) {
        node_play_host_t *host = &node_play->hosts[i];

        host->cut_until_us = 0;
        host->store_cut_until_us = 0;
        if (host->frozen_until_us > node_play->now_us) {
            host->frozen_until_us = node_play->now_us;
        }
        if (host->node == NULL) {
            host->restart_us = node_play->now_us;
        }
    }
}

static void
step_host(unsigned int index)
{
    node_play_host_t *host = &node_play->hosts[index];

    if (host->node == NULL && node_play->now_us >= host->restart_us) {
        start_host(index);
    }
    if (node_play_is_awake(host)) {
        node_play_select(index);
        pps_timers_run(&host->node->reactor.timers, node_play->now_us);
    }
}

void
node_play_run_until(int64_t ms)
{
    while (node_play_elapsed_ms() < ms && node_play->finding.text[0] == '\0') {
        node_play->now_us += STEP_US;
        if (node_play->now_us >= node_play->lossy_until_us) {
            node_play->loss = 0;
        }
        node_play_step_writers();
        node_play_deliver();
        for (unsigned int i = 0; i < node_play->options.hosts; i++) {
            step_host(i);
        }
        if (node_play_elapsed_ms() % COMPARE_PERIOD_MS == 0) {
            node_play_compare();
        }
    }
}
