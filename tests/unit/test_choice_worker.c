/** @file test_choice_worker.c @brief Tests the selection of a worker. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define DRAWS 2000
#define NOW_US 1000000
#define WORKERS 4

/** Condition of a worker before the selection. */
typedef enum {
    IDLE,
    LEAVING,
    FULL,
    BROKEN,
    NOT_LOADED,
    BUSY,
    SLOW,
    TRIED,
    OTHER_UPSTREAM,
} condition_t;

static pps_worker_view_t *
make_view(const condition_t *conditions)
{
    static char ids[WORKERS][4];
    pps_worker_t workers[WORKERS] = {0};
    pps_worker_view_t *view;

    for (int i = 0; i < WORKERS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "w%d", i);
        workers[i] = (pps_worker_t){
            ids[i],
            conditions[i] == OTHER_UPSTREAM ? "registry" : "drafting",
            "10.0.0.1",
            1,
            i % 2 ? "b" : "a",
            conditions[i] == LEAVING ? PPS_WORKER_LEAVING : PPS_WORKER_LIVE,
            8,
            NULL};
    }
    cr_assert_eq(pps_worker_view_new(&view, NULL, workers, WORKERS), 0);
    return view;
}

static void
apply_condition(const pps_worker_t *worker, condition_t condition)
{
    pps_worker_report_t busy = {8, 30, 8, NULL, 0, NOW_US, 0};

    pps_worker_record_first_token(worker, condition == SLOW ? 5000 : 100);
    if (condition == FULL) {
        pps_worker_record_refusal(worker, PPS_REFUSAL_FULL, "m/1", NOW_US,
                                  7000);
    }
    if (condition == BROKEN) {
        pps_worker_record_refusal(worker, PPS_REFUSAL_BROKEN, "m/1", NOW_US,
                                  9000);
    }
    if (condition == NOT_LOADED) {
        pps_worker_record_refusal(worker, PPS_REFUSAL_NOT_LOADED, "m/1",
                                  NOW_US, 0);
    }
    if (condition == BUSY) {
        pps_worker_apply_report(worker, &busy);
    }
}

Test(choice_worker, eligibility)
{
    static const struct {
        const char *what;
        condition_t conditions[WORKERS];
        int error;
        int64_t retry_after_us;
        int used[WORKERS];
    } cases[] = {
        {"all", {IDLE, IDLE, IDLE, IDLE}, 0, 0, {1, 1, 1, 1}},
        {"leaving", {LEAVING, IDLE, IDLE, IDLE}, 0, 0, {0, 1, 1, 1}},
        {"back-off", {FULL, BROKEN, IDLE, IDLE}, 0, 0, {0, 0, 1, 1}},
        {"version", {NOT_LOADED, IDLE, IDLE, IDLE}, 0, 0, {0, 1, 1, 1}},
        {"tried", {TRIED, TRIED, TRIED, IDLE}, 0, 0, {0, 0, 0, 1}},
        {"slow", {SLOW, IDLE, IDLE, IDLE}, 0, 0, {0, 1, 1, 1}},
        {"only slow", {SLOW, FULL, TRIED, FULL}, 0, 0, {1, 0, 0, 0}},
        {"busy", {BUSY, IDLE, IDLE, IDLE}, 0, 0, {0, 1, 1, 1}},
        {"upstream", {OTHER_UPSTREAM, IDLE, IDLE, IDLE}, 0, 0, {0, 1, 1, 1}},
        {"closed", {FULL, BROKEN, LEAVING, FULL}, PPS_EUNAVAILABLE, 7000, {0}},
        {"all tried", {TRIED, TRIED, TRIED, TRIED}, PPS_ECLOSED, 0, {0}},
        {"no worker",
         {OTHER_UPSTREAM, OTHER_UPSTREAM, OTHER_UPSTREAM, OTHER_UPSTREAM},
         PPS_ENOTFOUND,
         0,
         {0}},
    };
    pps_rng_t rng;

    pps_rng_init(&rng, 3);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
        pps_worker_view_t *view = make_view(cases[i].conditions);
        const char *tried[WORKERS];
        int used[WORKERS] = {0};

        input.workers = view;
        input.upstream = "drafting";
        input.model_version = "m/1";
        input.now_us = NOW_US;
        input.rng = &rng;
        input.tried.names = tried;
        for (int w = 0; w < WORKERS; w++) {
            apply_condition(pps_worker_view_at(view, w),
                            cases[i].conditions[w]);
            if (cases[i].conditions[w] == TRIED) {
                tried[input.tried.count++] = pps_worker_view_at(view, w)->id;
            }
        }
        for (int draw = 0; draw < DRAWS; draw++) {
            pps_choice_worker_t out;

            cr_assert_eq(pps_choice_select_worker(&out, &input),
                         cases[i].error, "%s", cases[i].what);
            cr_expect_eq(out.retry_after_us, cases[i].retry_after_us);
            if (out.worker != NULL) {
                used[out.worker - pps_worker_view_at(view, 0)] = 1;
            }
        }
        for (int w = 0; w < WORKERS; w++) {
            cr_expect_eq(used[w], cases[i].used[w], "%s: worker %d",
                         cases[i].what, w);
        }
        pps_worker_view_free(view);
    }
}

Test(choice_worker, affine_worker_is_selected_within_the_tolerance)
{
    static const struct {
        unsigned int extra; /**< requests at the affine worker, of 8 slots */
        int selected;
    } cases[] = {{0, 1}, {2, 1}, {3, 0}, {16, 0}};
    static const condition_t conditions[WORKERS] = {IDLE, IDLE, IDLE, IDLE};
    pps_rng_t rng;

    pps_rng_init(&rng, 5);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
        pps_worker_view_t *view = make_view(conditions);
        pps_choice_worker_t affine;
        pps_choice_worker_t out;

        input.workers = view;
        input.upstream = "drafting";
        input.affinity = 42;
        input.affinity_tolerance = 0.25;
        input.now_us = NOW_US;
        input.rng = &rng;
        cr_assert_eq(pps_choice_select_worker(&affine, &input), 0);
        for (unsigned int n = 0; n < cases[i].extra; n++) {
            pps_worker_begin_request(affine.worker);
        }
        cr_assert_eq(pps_choice_select_worker(&out, &input), 0);
        cr_expect_eq(out.worker == affine.worker, cases[i].selected,
                     "case %zu", i);
        pps_worker_view_free(view);
    }
}

Test(choice_worker, own_failure_domain_is_preferred_at_equal_load)
{
    /* Two of four workers are in this domain; 1/6 of the pairs have none. */
    static const struct {
        size_t choices;
        double share;
    } cases[] = {{1, 0.5}, {2, 5.0 / 6.0}, {8, 1.0}};
    static const condition_t conditions[WORKERS] = {IDLE, IDLE, IDLE, IDLE};
    pps_rng_t rng;

    pps_rng_init(&rng, 6);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
        pps_worker_view_t *view = make_view(conditions);
        size_t own = 0;

        input.workers = view;
        input.upstream = "drafting";
        input.failure_domain = "b";
        input.choices = cases[i].choices;
        input.now_us = NOW_US;
        input.rng = &rng;
        for (int draw = 0; draw < DRAWS; draw++) {
            pps_choice_worker_t out;

            cr_assert_eq(pps_choice_select_worker(&out, &input), 0);
            own += strcmp(out.worker->failure_domain, "b") == 0;
        }
        cr_expect_float_eq((double)own / DRAWS, cases[i].share, 0.04,
                           "%zu choices", cases[i].choices);
        pps_worker_view_free(view);
    }
}

Test(choice_worker, old_reports_lose_weight)
{
    static const struct {
        int64_t age_us;
        int avoided; /**< 1: the worker loaded by other hosts is not used */
    } cases[] = {{0, 1}, {10000, 1}, {10000000, 0}};
    static const condition_t conditions[WORKERS] = {IDLE, IDLE, IDLE, IDLE};
    pps_rng_t rng;

    pps_rng_init(&rng, 8);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
        pps_worker_view_t *view = make_view(conditions);
        pps_worker_report_t report = {
            8, 0, 8, NULL, 0, NOW_US - cases[i].age_us, NOW_US};
        int hits = 0;

        pps_worker_apply_report(pps_worker_view_at(view, 0), &report);
        input.workers = view;
        input.upstream = "drafting";
        input.now_us = NOW_US;
        input.rng = &rng;
        input.domain_penalty = 0.0;
        for (int draw = 0; draw < DRAWS; draw++) {
            pps_choice_worker_t out;

            cr_assert_eq(pps_choice_select_worker(&out, &input), 0);
            hits += out.worker == pps_worker_view_at(view, 0);
        }
        cr_expect_eq(hits == 0, cases[i].avoided, "case %zu", i);
        pps_worker_view_free(view);
    }
}
