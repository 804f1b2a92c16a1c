/** @file test_pool_table.c @brief Tests capacity, fair shares and retries of
 * pools. */
#include "admission/pool_table.h"
#include "clock.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdint.h>

#define SLOTS 16
#define TRIES 100

static const pps_workspace_t loud = {.name = "loud", .weight = 1};
static const pps_workspace_t quiet = {.name = "quiet", .weight = 1};

static void
ignore(const char *upstream, const pps_usage_t *usage, size_t count,
       void *user)
{
}

static pps_worker_view_t *
make_workers(unsigned int slots)
{
    const pps_worker_t worker = {.id = "w",
                                 .upstream = "pool",
                                 .address = "10.0.0.1",
                                 .port = 1,
                                 .failure_domain = "a",
                                 .slots = slots};
    pps_worker_view_t *view;

    cr_assert_eq(pps_worker_view_new(&view, NULL, &worker, 1), 0);
    return view;
}

static int
enter_many(pps_pool_t *pool, const pps_workspace_t *workspace, int tries)
{
    int64_t retry_after_us;
    pps_rng_t rng;
    int admitted = 0;

    pps_rng_init(&rng, 1);
    for (int i = 0; i < tries; i++) {
        admitted += pps_pool_enter(pool, workspace, PPS_PRIORITY_NORMAL,
                                   INT64_MAX, &rng, &retry_after_us) == 0;
    }
    return admitted;
}

Test(pool_table, unknown_slots_do_not_limit)
{
    pps_worker_view_t *workers = make_workers(0);
    pps_pool_table_t *table;
    pps_pool_t *pool;

    cr_assert_eq(pps_pool_table_new(&table), 0);
    pool = pps_pool_table_get(table, "pool");
    cr_expect_eq(enter_many(pool, &loud, TRIES), TRIES, "before a tick");
    pps_pool_table_tick(table, workers, pps_clock_now_us(), ignore, NULL);
    cr_expect_eq(enter_many(pool, &quiet, TRIES), TRIES, "after a tick");
    pps_pool_table_free(table);
    pps_worker_view_free(workers);
}

Test(pool_table, a_busy_workspace_leaves_capacity_to_another)
{
    pps_worker_view_t *workers = make_workers(SLOTS);
    pps_pool_table_t *table;
    pps_pool_t *pool;
    int admitted;

    cr_assert_eq(pps_pool_table_new(&table), 0);
    pool = pps_pool_table_get(table, "pool");
    pps_pool_table_tick(table, workers, 1, ignore, NULL);
    admitted = enter_many(pool, &loud, TRIES);
    cr_expect(admitted > 0 && admitted < SLOTS, "%d", admitted);
    cr_expect_eq(enter_many(pool, &quiet, 1), 1);
    pps_pool_table_free(table);
    pps_worker_view_free(workers);
}

Test(pool_table, retries_run_out_without_successes)
{
    pps_pool_table_t *table;
    pps_pool_t *pool;
    int allowed = 0;

    cr_assert_eq(pps_pool_table_new(&table), 0);
    pool = pps_pool_table_get(table, "pool");
    for (int i = 0; i < TRIES; i++) {
        allowed += pps_pool_take_retry(pool);
    }
    cr_expect(allowed > 0 && allowed < TRIES, "%d", allowed);
    cr_expect_not(pps_pool_take_retry(pool));
    for (int i = 0; i < TRIES; i++) {
        enter_many(pool, &quiet, 1);
        pps_pool_leave(pool, "quiet", 1000, 1);
    }
    cr_expect(pps_pool_take_retry(pool));
    pps_pool_table_free(table);
}

Test(pool_table, a_name_that_is_too_long_is_refused)
{
    pps_pool_table_t *table;

    cr_assert_eq(pps_pool_table_new(&table), 0);
    cr_expect_null(pps_pool_table_get(
        table, "a-name-that-is-longer-than-any-name-in-a-note-may-be"));
    pps_pool_table_free(table);
}
