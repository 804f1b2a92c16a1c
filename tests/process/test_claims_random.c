/**
 * @file test_claims_random.c
 * @brief Many keys, each at every host, under faults drawn from a seed.
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
#define KEYS 3 /* in a round */
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

/** What is done to a host while requests are under way. */
typedef enum {
    NOTHING,
    STOP,
    KILL,
    BLOWS,
} blow_t;

/** A key and what its callers were told. */
typedef struct {
    char name[24];
    int answered; /**< some were told that it was run */
    int open;     /**< some were told anything but "not run" */
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
start_round(service_call_t acts[KEYS * ROUTERS], int round)
{
    for (int i = 0; i < KEYS * ROUTERS; i++) {
        tested_key_t *key = &keys[round * KEYS + i / ROUTERS];

        snprintf(key->name, sizeof(key->name), "r%d-k%d", round, i / ROUTERS);
        acts[i] = (service_call_t){
            .cluster = cluster, .router = i % ROUTERS, .key = key->name};
        service_call_start(&acts[i]);
    }
}

static void
strike(harness_process_t *router, blow_t blow)
{
    pps_clock_sleep_us(PAUSE_US);
    if (blow == STOP) {
        harness_signal(router, SIGSTOP);
        pps_clock_sleep_us(5 * PAUSE_US);
        harness_signal(router, SIGCONT);
    }
    if (blow == KILL) {
        harness_signal(router, SIGKILL);
        harness_wait(router, CLUSTER_WAIT_MS);
    }
}

static void
note_result(tested_key_t *key, const service_call_result_t *result)
{
    key->answered |= result->status == 200 || strcmp(result->run, "yes") == 0;
    key->open |= strcmp(result->run, "no") != 0;
}

static void
run_round(pps_rng_t *rng, int round)
{
    int router = (int)pps_rng_below(rng, ROUTERS);
    blow_t blow = (blow_t)pps_rng_below(rng, BLOWS);
    service_call_t acts[KEYS * ROUTERS];

    draw_faults(rng);
    start_round(acts, round);
    strike(cluster->routers[router], blow);
    for (int i = 0; i < KEYS * ROUTERS; i++) {
        service_call_join(&acts[i]);
        note_result(&keys[round * KEYS + i / ROUTERS], &acts[i].result);
    }
    if (blow == KILL) {
        cr_assert_gt(cluster_start_router(cluster, router), -1);
        cluster_put_hosts(cluster);
    }
}

static void
expect_account(const tested_key_t *key)
{
    json_int_t runs = cluster_run_count(cluster, key->name);
    json_int_t least = key->answered ? 1 : 0;
    json_int_t most = key->open ? 1 : 0;

    cr_expect(runs >= least && runs <= most, "%s: %d runs, told %d to %d",
              key->name, (int)runs, (int)least, (int)most);
}

/* Asked again when all is well, the key ends with its answer or in doubt. */
static void
expect_end(const tested_key_t *key, int router)
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

Test(claims_random, no_key_runs_twice_and_none_that_was_told_not_run)
{
    pps_rng_t rng;

    pps_rng_init(&rng, 20261203);
    for (int round = 0; round < ROUNDS; round++) {
        run_round(&rng, round);
    }
    cluster_reset_faults(cluster);
    for (int i = 0; i < ROUNDS * KEYS; i++) {
        expect_account(&keys[i]);
        expect_end(&keys[i], i % ROUTERS);
    }
}
