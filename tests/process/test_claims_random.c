/**
 * @file test_claims_random.c
 * @brief Sends many keys to every host under random faults from a fixed seed.
 */
#include "clock.h"
#include "harness_service_call.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ROUTERS 3
#define ROUNDS 10
#define KEYS 3 /* per round */
#define PAUSE_US (60 * PPS_US_PER_MS)
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const char *const platform_faults[] = {
    "{\"reset\": true}",
    "{\"drop_acks\": 2}",
    "{\"log\": \"slow\", \"slow_ms\": 120}",
    "{\"log\": \"slow\", \"slow_ms\": 1500}",
    "{\"log\": \"down\"}",
};

static const char *const service_faults[] = {
    "{\"reset\": true}",
    "{\"lose_answer\": 2}",
    "{\"refuse\": \"full\", \"count\": 2}",
    "{\"delay_ms\": 150}",
    "{\"lose_answer\": 1, \"delay_ms\": 100}",
};

/** What happens to a router while requests are in progress. */
typedef enum {
    ACTION_NONE,
    ACTION_STOP,
    ACTION_KILL,
    ACTION_COUNT,
} action_t;

/** A key and the answers to its requests. */
typedef struct {
    char name[24];
    int has_run;      /**< an answer said that it was run */
    int may_have_run; /**< an answer said anything but `run: no` */
} tested_key_t;

static cluster_t *cluster;
static tested_key_t keys[ROUNDS * KEYS];

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(claims_random, .init = set_up, .fini = tear_down);

static void
draw_faults(pps_rng_t *rng)
{
    cluster_reset_faults(cluster);
    cluster_set_faults(
        cluster->platform,
        platform_faults[pps_rng_below(rng, COUNT_OF(platform_faults))]);
    for (int i = 0; i < cluster->options.services; i++) {
        cluster_set_faults(
            cluster->services[i],
            service_faults[pps_rng_below(rng, COUNT_OF(service_faults))]);
    }
}

static void
start_round(service_call_t calls[KEYS * ROUTERS], int round)
{
    for (int i = 0; i < KEYS * ROUTERS; i++) {
        tested_key_t *key = &keys[round * KEYS + i / ROUTERS];

        snprintf(key->name, sizeof(key->name), "r%d-k%d", round, i / ROUTERS);
        calls[i] = (service_call_t){
            .cluster = cluster, .router = i % ROUTERS, .key = key->name};
        service_call_start(&calls[i]);
    }
}

static void
disturb_router(harness_process_t *router, action_t action)
{
    pps_clock_sleep_us(PAUSE_US);
    if (action == ACTION_STOP) {
        harness_signal(router, SIGSTOP);
        pps_clock_sleep_us(5 * PAUSE_US);
        harness_signal(router, SIGCONT);
    }
    if (action == ACTION_KILL) {
        harness_signal(router, SIGKILL);
        harness_wait(router, CLUSTER_WAIT_MS);
    }
}

static void
record_result(tested_key_t *key, const service_call_result_t *result)
{
    key->has_run |= result->status == 200 || strcmp(result->run, "yes") == 0;
    key->may_have_run |= strcmp(result->run, "no") != 0;
}

static void
run_round(pps_rng_t *rng, int round)
{
    int router = (int)pps_rng_below(rng, ROUTERS);
    action_t action = (action_t)pps_rng_below(rng, ACTION_COUNT);
    service_call_t calls[KEYS * ROUTERS];

    draw_faults(rng);
    start_round(calls, round);
    disturb_router(cluster->routers[router], action);
    for (int i = 0; i < KEYS * ROUTERS; i++) {
        service_call_join(&calls[i]);
        record_result(&keys[round * KEYS + i / ROUTERS], &calls[i].result);
    }
    if (action == ACTION_KILL) {
        cr_assert_gt(cluster_start_router(cluster, router), -1);
        cluster_put_hosts(cluster);
    }
}

static void
expect_runs(const tested_key_t *key)
{
    json_int_t runs = cluster_run_count(cluster, key->name);
    json_int_t run_min = key->has_run ? 1 : 0;
    json_int_t run_max = key->may_have_run ? 1 : 0;

    cr_expect(runs >= run_min && runs <= run_max,
              "%s: %d runs, expected %d to %d", key->name, (int)runs,
              (int)run_min, (int)run_max);
}

/* Without faults, the key ends with its answer or an undecided outcome. */
static void
expect_final_answer(const tested_key_t *key, int router)
{
    json_int_t runs;
    service_call_t last;

    service_call_complete_key(&last, cluster, router, key->name);
    runs = cluster_run_count(cluster, key->name);
    cr_expect(last.result.status == 200
                  ? runs == 1
                  : service_call_is_undecided(&last) && runs <= 1,
              "%s: %d runs, %s", key->name, (int)runs, last.result.code);
}

Test(claims_random, no_key_runs_more_often_than_its_answers_allow)
{
    pps_rng_t rng;

    pps_rng_init(&rng, 20261203);
    for (int round = 0; round < ROUNDS; round++) {
        run_round(&rng, round);
    }
    cluster_reset_faults(cluster);
    for (int i = 0; i < ROUNDS * KEYS; i++) {
        expect_runs(&keys[i]);
        expect_final_answer(&keys[i], i % ROUTERS);
    }
}
