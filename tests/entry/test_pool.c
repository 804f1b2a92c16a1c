/** @file test_pool.c @brief Tests the worker pool and the detection
 * of a lost path. */
#include "clock.h"
#include "pool/pool.h"
#include "pool/reachability.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define S PPS_US_PER_S

static pps_worker_info_t
make_info(const char *id, int leaving, int64_t start_ms)
{
    pps_worker_info_t info = {
        .upstream = "s", .address = "10.0.0.1:80", .slots = 8};

    snprintf(info.id, sizeof(info.id), "%s", id);
    info.leaving = leaving;
    info.start_ms = start_ms;
    return info;
}

static int
put(pps_pool_t *pool, const char *id, int leaving, int64_t start_ms)
{
    pps_worker_info_t info = make_info(id, leaving, start_ms);

    return pps_pool_put(pool, &info);
}

Test(pool, put_reports_changes)
{
    pps_pool_t *pool;

    cr_assert_eq(pps_pool_new(&pool), 0);
    cr_expect_eq(put(pool, "a", 0, 1), 1);
    cr_expect_eq(put(pool, "a", 0, 1), 0);
    cr_expect_eq(put(pool, "a", 1, 1), 1);
    cr_expect_eq(put(pool, "a", 0, 2), 1);
    cr_expect_eq(pps_pool_count(pool), 1);
    cr_expect_eq(pps_pool_remove(pool, "a"), 1);
    cr_expect_eq(pps_pool_remove(pool, "a"), 0);
    cr_expect_null(pps_pool_lookup(pool, "a"));
    pps_pool_free(pool);
}

/* A worker whose record reappears before its scheduled removal is kept;
 * otherwise it is removed. */
Test(pool, scheduled_removal)
{
    pps_pool_t *pool;

    cr_assert_eq(pps_pool_new(&pool), 0);
    put(pool, "a", 0, 1);
    put(pool, "b", 0, 1);
    pps_pool_remove_at(pool, "a", 10 * S);
    pps_pool_remove_at(pool, "b", 10 * S);
    cr_expect_eq(pps_pool_sweep(pool, 9 * S), 0);
    put(pool, "a", 0, 1);
    cr_expect_eq(pps_pool_sweep(pool, 10 * S), 1);
    cr_expect_not_null(pps_pool_lookup(pool, "a"));
    cr_expect_null(pps_pool_lookup(pool, "b"));
    pps_pool_free(pool);
}

typedef struct {
    const char *what;
    int64_t start_ms; /* of the worker, listed as ready */
    int64_t said_ms;  /* start that said that it is leaving; -1: none did */
    int64_t next_start_ms; /* of the record that follows */
    int is_removed;        /* before that record */
    int is_leaving;        /* in the end */
} leaving_case_t;

static const leaving_case_t leaving_cases[] = {
    {"nothing said", 5, -1, 5, 0, 0},
    {"said, the record still says ready", 5, 5, 5, 0, 1},
    {"said, then a later start", 5, 5, 6, 0, 0},
    {"said, unlisted and listed again", 5, 5, 5, 1, 1},
    {"said, unlisted, then a later start", 5, 5, 6, 1, 0},
    {"said by an earlier start", 5, 4, 5, 0, 0},
    {"said by a start whose record comes later", 5, 6, 6, 0, 1},
    {"start unknown", 0, 0, 0, 0, 1},
};

Test(pool, worker_that_said_leaving_stays_so_until_a_later_start)
{
    for (size_t i = 0; i < sizeof(leaving_cases) / sizeof(*leaving_cases);
         i++) {
        const leaving_case_t *item = &leaving_cases[i];
        pps_pool_t *pool;

        cr_assert_eq(pps_pool_new(&pool), 0);
        put(pool, "a", 0, item->start_ms);
        if (item->said_ms >= 0) {
            pps_pool_set_leaving(pps_pool_lookup(pool, "a"), item->said_ms);
        }
        if (item->is_removed) {
            pps_pool_remove(pool, "a");
        }
        put(pool, "a", 0, item->next_start_ms);
        cr_expect_eq(pps_pool_worker_is_leaving(pps_pool_lookup(pool, "a")),
                     item->is_leaving, "%s", item->what);
        pps_pool_free(pool);
    }
}

typedef struct {
    const char *what;
    int is_listed;    /* a worker that started at 5 */
    int is_leaving;   /* that worker */
    int is_removed;   /* it was removed */
    int64_t start_ms; /* of the record */
    int leaving;      /* the record */
    int is_outdated;
} outdated_case_t;

static const outdated_case_t outdated_cases[] = {
    {"unknown", 0, 0, 0, 5, 0, 0},
    {"the same", 1, 0, 0, 5, 0, 0},
    {"now leaving", 1, 0, 0, 5, 1, 0},
    {"ready again with the same start", 1, 1, 0, 5, 0, 1},
    {"a later start", 1, 1, 0, 6, 0, 0},
    {"an earlier start", 1, 0, 0, 4, 0, 1},
    {"removed", 1, 0, 1, 5, 0, 1},
    {"removed, then a later start", 1, 0, 1, 6, 0, 0},
};

Test(pool, records_that_contradict_newer_knowledge)
{
    for (size_t i = 0; i < sizeof(outdated_cases) / sizeof(*outdated_cases);
         i++) {
        const outdated_case_t *item = &outdated_cases[i];
        pps_worker_info_t info = make_info("a", item->leaving, item->start_ms);
        pps_pool_t *pool;

        cr_assert_eq(pps_pool_new(&pool), 0);
        if (item->is_listed) {
            put(pool, "a", item->is_leaving, 5);
        }
        if (item->is_removed) {
            pps_pool_remove(pool, "a");
        }
        cr_expect_eq(pps_pool_is_outdated(pool, &info), item->is_outdated,
                     "%s", item->what);
        pps_pool_free(pool);
    }
}

Test(pool, longest_pause_counts_until_a_restart)
{
    pps_pool_t *pool;
    pps_pool_worker_t *worker;

    cr_assert_eq(pps_pool_new(&pool), 0);
    put(pool, "a", 0, 1);
    worker = pps_pool_lookup(pool, "a");
    pps_pool_pause(worker, 3 * S, 9 * S);
    pps_pool_pause(worker, 3 * S, 4 * S);
    cr_expect_eq(worker->paused_until_us, 9 * S);
    put(pool, "a", 0, 2);
    cr_expect_eq(worker->paused_until_us, 0);
    pps_pool_free(pool);
}

/* A worker with calls in flight stays in memory after its removal. */
Test(pool, workers_outlive_their_entries_during_calls)
{
    pps_pool_t *pool;
    pps_pool_worker_t *worker;

    cr_assert_eq(pps_pool_new(&pool), 0);
    put(pool, "a", 0, 1);
    worker = pps_pool_lookup(pool, "a");
    pps_pool_begin_call(worker);
    pps_pool_remove(pool, "a");
    put(pool, "a", 0, 2);
    cr_expect_neq(pps_pool_lookup(pool, "a"), worker);
    pps_pool_end_call(pool, worker, PPS_WORKER_SERVED, S);
    cr_expect_eq(pps_pool_count(pool), 1);
    pps_pool_free(pool);
}

Test(pool, load_is_corrected_by_own_calls)
{
    pps_pool_t *pool;
    pps_pool_worker_t *worker;

    cr_assert_eq(pps_pool_new(&pool), 0);
    put(pool, "a", 0, 1);
    worker = pps_pool_lookup(pool, "a");
    pps_pool_begin_call(worker);
    cr_expect_float_eq(pps_pool_worker_busy(worker, S, 4), 4, 1e-9);
    pps_pool_record_load(worker, 5, 2, 16, S);
    cr_expect_eq(worker->slots, 16);
    pps_pool_begin_call(worker);
    cr_expect_float_eq(pps_pool_worker_busy(worker, S, 4), 8, 1e-9);
    cr_expect_float_eq(pps_pool_worker_busy(worker, 9 * S, 4), 8, 1e-9);
    pps_pool_end_call(pool, worker, PPS_WORKER_SERVED, S);
    pps_pool_end_call(pool, worker, PPS_WORKER_SERVED, S);
    pps_pool_free(pool);
}

typedef struct {
    pps_worker_outcome_t outcome;
    int avoided;
    int full;
    int failing;
} outcome_case_t;

static const outcome_case_t outcomes[] = {
    {PPS_WORKER_SERVED, 0, 0, 0}, {PPS_WORKER_FAILED, 0, 0, 1},
    {PPS_WORKER_FULL, 0, 1, 0},   {PPS_WORKER_UNREACHABLE, 1, 0, 1},
    {PPS_WORKER_MOVED, 1, 0, 0},  {PPS_WORKER_ABANDONED, 0, 0, 0},
};

Test(pool, outcomes)
{
    for (size_t i = 0; i < sizeof(outcomes) / sizeof(*outcomes); i++) {
        pps_pool_t *pool;
        pps_pool_worker_t *worker;

        cr_assert_eq(pps_pool_new(&pool), 0);
        put(pool, "a", 0, 1);
        worker = pps_pool_lookup(pool, "a");
        pps_pool_begin_call(worker);
        pps_pool_end_call(pool, worker, outcomes[i].outcome, S);
        cr_expect_eq(worker->avoided_until_us > S, outcomes[i].avoided,
                     "case %zu", i);
        cr_expect_eq(worker->full_until_us > S, outcomes[i].full, "case %zu",
                     i);
        cr_expect_eq(worker->failure_share > 0, outcomes[i].failing,
                     "case %zu", i);
        put(pool, "a", 0, 2);
        cr_expect_eq(worker->avoided_until_us, 0);
        cr_expect_eq(worker->failure_share, 0);
        pps_pool_free(pool);
    }
}

/** Failures and replies, and whether the path then counts as lost. */
typedef struct {
    const char *what;
    unsigned int workers; /* workers that fail once each */
    unsigned int repeats; /* further failures of the last worker */
    int replied;          /* a worker replied after that */
    int64_t later_us;     /* time from the last event to the check */
    int lost;
} reachability_case_t;

static const reachability_case_t reachability_cases[] = {
    {"nothing failed", 0, 0, 0, 0, 0},
    {"three workers fail", 3, 0, 0, 0, 0},
    {"one worker fails repeatedly", 1, 9, 0, 0, 0},
    {"four workers fail", 4, 0, 0, 0, 1},
    {"still lost shortly after", 4, 0, 0, 900000, 1},
    {"no longer lost after a second", 4, 0, 0, 1000000, 0},
    {"reply after the failures", 4, 0, 1, 0, 0},
};

Test(reachability, table)
{
    for (size_t i = 0;
         i < sizeof(reachability_cases) / sizeof(*reachability_cases); i++) {
        const reachability_case_t *item = &reachability_cases[i];
        pps_reachability_t reach = {0};
        int64_t now_us = 50000000;

        for (unsigned int n = 0; n < item->workers + item->repeats; n++) {
            pps_reachability_record_failure(
                &reach, n < item->workers ? n + 1 : item->workers, now_us);
        }
        if (item->replied) {
            pps_reachability_record_reply(&reach);
        }
        cr_expect_eq(pps_reachability_is_lost(&reach, now_us + item->later_us),
                     item->lost, "%s", item->what);
    }
}

/* A lost path admits probe calls at an interval. */
Test(reachability, lost_path_admits_probe_calls)
{
    pps_reachability_t reach = {0};
    unsigned int admitted = 0;

    for (uint64_t i = 1; i <= 4; i++) {
        pps_reachability_record_failure(&reach, i, 50000000);
    }
    for (int64_t ms = 0; ms < 1000; ms++) {
        admitted +=
            pps_reachability_admit_call(&reach, 50000000 + ms * 1000) != 0;
    }
    cr_expect_eq(admitted, 5);
}

typedef struct {
    const char *what;
    int64_t started_us; /* as the record says */
    int is_kept;
} pause_case_t;

static const pause_case_t pauses[] = {
    {"asked for by the worker that has started", 2 * S, 1},
    {"asked for by the worker before it", 4 * S, 0},
    {"of a worker that does not say when it started", 0, 0},
};

/* A worker's answer may arrive before the record of its start does. */
Test(pool, pause_of_a_restarted_worker_ends_when_its_record_arrives)
{
    for (size_t i = 0; i < sizeof(pauses) / sizeof(*pauses); i++) {
        pps_worker_info_t info = {.id = "w", .upstream = "s", .start_ms = 1};
        pps_pool_worker_t *worker;
        pps_pool_t *pool;

        cr_assert_eq(pps_pool_new(&pool), 0);
        pps_pool_put(pool, &info);
        worker = pps_pool_lookup(pool, "w");
        pps_pool_pause(worker, 3 * S, 9 * S);
        info.start_ms = 2;
        info.started_us = pauses[i].started_us;
        pps_pool_put(pool, &info);
        cr_expect_eq(worker->paused_until_us, pauses[i].is_kept ? 9 * S : 0,
                     "%s", pauses[i].what);
        pps_pool_free(pool);
    }
}
