/** @file test_health.c @brief Tests the findings of the health test. */
#include "papayaswitch/errors.h"
#include "papayaswitch/health.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define WORKSPACES 5
#define WORKERS 6
#define DEVIATION 0.2

/** The ratings that are lower than expected. */
typedef enum {
    NONE,
    ALL,
    ONE_WORKSPACE,
    ONE_WORKER,
} fault_t;

static double
normal(pps_rng_t *rng)
{
    return sqrt(-2.0 * log(1.0 - pps_rng_unit(rng))) *
           cos(2.0 * M_PI * pps_rng_unit(rng));
}

static void
rate(pps_health_t *health, pps_rng_t *rng, fault_t fault, double drop)
{
    int workspace = (int)pps_rng_below(rng, WORKSPACES);
    int worker = (int)pps_rng_below(rng, WORKERS);
    int hit = fault == ALL || (fault == ONE_WORKSPACE && workspace == 2) ||
              (fault == ONE_WORKER && worker == 3);
    char names[2][12];

    snprintf(names[0], sizeof(names[0]), "ws%d", workspace);
    snprintf(names[1], sizeof(names[1]), "w%d", worker);
    cr_assert_eq(pps_health_add(health, names[0], names[1], 1,
                                (hit ? drop : 0.0) + DEVIATION * normal(rng)),
                 0);
}

Test(health, faults_are_identified)
{
    static const struct {
        const char *what;
        fault_t fault;
        double drop;
        int ratings;
        pps_health_finding_t finding;
        const char *name;
    } cases[] = {
        {"clean", NONE, 0.0, 20000, PPS_HEALTH_OK, ""},
        {"better than expected", ALL, -0.2, 20000, PPS_HEALTH_OK, ""},
        {"within tolerance", ALL, 0.01, 20000, PPS_HEALTH_OK, ""},
        {"small drop", ALL, 0.05, 4000, PPS_HEALTH_HOLD_VERSION, ""},
        {"large drop", ALL, 0.3, 200, PPS_HEALTH_HOLD_VERSION, ""},
        {"workspace", ONE_WORKSPACE, 0.3, 20000, PPS_HEALTH_REPORT_WORKSPACE,
         "ws2"},
        {"worker", ONE_WORKER, 0.3, 20000, PPS_HEALTH_AVOID_WORKER, "w3"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
        pps_health_verdict_t found = {.finding = PPS_HEALTH_OK};
        pps_health_verdict_t verdict;
        pps_health_t *health;
        pps_rng_t rng;

        pps_rng_init(&rng, 11);
        cr_assert_eq(pps_health_new(&health, &options), 0);
        for (int n = 0; n < cases[i].ratings; n++) {
            rate(health, &rng, cases[i].fault, cases[i].drop);
            pps_health_step(health, &verdict);
            if (verdict.finding != PPS_HEALTH_OK &&
                found.finding == PPS_HEALTH_OK) {
                found = verdict;
            }
        }
        cr_expect_eq(found.finding, cases[i].finding, "%s", cases[i].what);
        cr_expect_str_eq(found.name, cases[i].name, "%s", cases[i].what);
        if (found.finding != PPS_HEALTH_OK) {
            cr_expect_geq(found.log_evidence, found.threshold);
            cr_expect_float_eq(found.drop, cases[i].drop, 0.12, "%s: %f",
                               cases[i].what, found.drop);
        }
        pps_health_free(health);
    }
}

Test(health, a_bad_version_is_held_after_a_workspace_was_reported)
{
    pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    pps_health_verdict_t verdict;
    pps_health_t *health;
    int reported = 0;
    pps_rng_t rng;

    pps_rng_init(&rng, 12);
    cr_assert_eq(pps_health_new(&health, &options), 0);
    for (int n = 0; n < 3000; n++) {
        rate(health, &rng, n < 2000 ? ONE_WORKSPACE : ALL, 0.3);
        pps_health_step(health, &verdict);
        reported += verdict.finding == PPS_HEALTH_REPORT_WORKSPACE;
    }
    cr_expect_eq(reported, 1);
    cr_expect_eq(verdict.finding, PPS_HEALTH_HOLD_VERSION);
    pps_health_free(health);
}

/** Two hosts, one of them restarted, send their counters twice each. */
Test(health, hosts_sum_their_ratings_once)
{
    static const struct {
        const char *host;
        uint64_t incarnation;
    } sources[] = {{"a", 1}, {"b", 1}, {"a", 2}};
    pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    pps_health_verdict_t verdict;
    pps_health_t *health;
    pps_tally_t *sink;

    cr_assert_eq(pps_tally_new(&sink, "sink", 1), 0);
    cr_assert_eq(pps_health_new(&health, &options), 0);
    for (size_t i = 0; i < sizeof(sources) / sizeof(sources[0]); i++) {
        pps_tally_t *tally;
        void *data;
        size_t size;

        cr_assert_eq(
            pps_tally_new(&tally, sources[i].host, sources[i].incarnation), 0);
        for (int n = 0; n < 10; n++) {
            cr_assert_eq(pps_health_count_rating(tally, "m/1",
                                                 n % 2 ? "v" : "w",
                                                 n % 3 ? "x" : "y", 0.4, 0.8),
                         0);
        }
        cr_assert_eq(pps_tally_encode(tally, &data, &size, 0), 0);
        for (int repeat = 0; repeat < 2; repeat++) {
            cr_assert_eq(pps_tally_merge(sink, data, size), 0);
            cr_assert_eq(pps_health_add_tally(health, sink, "m/1"), 0);
            pps_health_step(health, &verdict);
        }
        free(data);
        pps_tally_free(tally);
    }
    cr_expect_eq(verdict.finding, PPS_HEALTH_HOLD_VERSION);
    cr_expect_leq(verdict.ratings, 30.0);
    cr_expect_float_eq(verdict.drop, 0.4, 1e-3);
    pps_health_free(health);
    pps_tally_free(sink);
}

/** A batch of ratings of one workspace at one worker. */
typedef struct {
    const char *workspace;
    const char *worker;
    double ratings;
    double drop;
} batch_t;

#define BATCHES 8

/** Hosts send counters at intervals, so a drop may reach the test at one
 * worker first and at another later. It must not be attributed to the first
 * worker. */
Test(health, batches_over_two_workers_identify_the_fault)
{
    static const struct {
        const char *what;
        batch_t batches[BATCHES];
        int one_step;   /**< 1: all batches in a step; 0: one step per batch */
        int workspaces; /**< reported; -1: not checked, nor `workers` */
        int workers;
        int held;
    } cases[] = {
        {"one workspace, both workers in one step",
         {{"north", "a", 30, 0.0},
          {"north", "b", 30, 0.0},
          {"south", "a", 30, 0.0},
          {"south", "b", 30, 0.0},
          {"west", "a", 30, 0.0},
          {"west", "b", 30, 0.0},
          {"office", "a", 30, 0.5},
          {"office", "b", 30, 0.5}},
         1,
         1,
         0,
         0},
        {"one workspace, one worker after the other",
         {{"north", "a", 30, 0.0},
          {"office", "a", 30, 0.5},
          {"north", "b", 30, 0.0},
          {"office", "b", 30, 0.5}},
         0,
         1,
         0,
         0},
        {"all workspaces, one worker after the other",
         {{"north", "a", 30, 0.5},
          {"south", "a", 30, 0.5},
          {"north", "b", 30, 0.5},
          {"south", "b", 30, 0.5}},
         0,
         -1,
         -1,
         1},
        {"all workspaces in one step",
         {{"north", "a", 30, 0.5},
          {"south", "a", 30, 0.5},
          {"north", "b", 30, 0.5},
          {"south", "b", 30, 0.5}},
         1,
         0,
         0,
         1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
        pps_health_verdict_t verdict = {.finding = PPS_HEALTH_OK};
        int found[4] = {0};
        pps_health_t *health;

        cr_assert_eq(pps_health_new(&health, &options), 0);
        for (size_t n = 0; n < BATCHES + 4; n++) {
            const batch_t *batch = &cases[i].batches[n % BATCHES];

            if (n < BATCHES && batch->workspace != NULL) {
                cr_assert_eq(pps_health_add(health, batch->workspace,
                                            batch->worker, batch->ratings,
                                            batch->ratings * batch->drop),
                             0);
            }
            if (!cases[i].one_step || n + 1 >= BATCHES) {
                pps_health_step(health, &verdict);
                found[verdict.finding]++;
            }
        }
        cr_expect_eq(verdict.finding == PPS_HEALTH_HOLD_VERSION, cases[i].held,
                     "%s: held", cases[i].what);
        if (cases[i].workspaces >= 0) {
            cr_expect_eq(found[PPS_HEALTH_REPORT_WORKSPACE],
                         cases[i].workspaces, "%s: workspaces", cases[i].what);
            cr_expect_eq(found[PPS_HEALTH_AVOID_WORKER], cases[i].workers,
                         "%s: workers", cases[i].what);
        }
        pps_health_free(health);
    }
}
