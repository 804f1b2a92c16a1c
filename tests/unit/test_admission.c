/** @file test_admission.c @brief Tests fair shares, limits and retry
 * budgets. */
#include "papayaswitch/admission.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/retry_budget.h"

#include <criterion/criterion.h>
#include <string.h>

#define SLOTS 100
#define SERVICE_US 1000000
#define HOSTS 4

Test(fair_shares, water_filling)
{
    static const struct {
        const char *what;
        double demands[3];
        double weights[3];
        double shares[3];
    } cases[] = {
        {"all fit", {10, 20, 30}, {1, 1, 1}, {10, 20, 30}},
        {"equal", {90, 90, 90}, {1, 1, 1}, {30, 30, 30}},
        {"by weight", {90, 90, 90}, {1, 2, 3}, {15, 30, 45}},
        {"one small demand", {10, 90, 90}, {1, 1, 1}, {10, 40, 40}},
        {"one large demand", {10, 20, 900}, {1, 1, 1}, {10, 20, 60}},
        {"small demand, large weight", {30, 90, 90}, {8, 1, 1}, {30, 30, 30}},
        {"no demand", {0, 0, 0}, {1, 1, 1}, {0, 0, 0}},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        double shares[3];

        pps_fair_shares(shares, cases[i].demands, cases[i].weights, 3, 90);
        for (int w = 0; w < 3; w++) {
            cr_expect_float_eq(shares[w], cases[i].shares[w], 1e-9,
                               "%s: %d: %f", cases[i].what, w, shares[w]);
        }
    }
}

/** Requests a slot, with `retry_us` as the retry time on a refusal. */
static int
enter(pps_admission_t *admission, const char *workspace,
      pps_priority_t priority, int64_t deadline_us, int64_t *retry_us)
{
    static pps_rng_t rng;
    pps_admission_request_t request = {workspace,   1.0, priority, SERVICE_US,
                                       deadline_us, 0,   &rng};

    return pps_admission_enter(admission, retry_us, &request);
}

Test(admission, low_priorities_are_refused_first)
{
    static const struct {
        int taken; /**< slots used by another workspace */
        int admitted[PPS_PRIORITY_COUNT];
    } cases[] = {
        {10, {1, 1, 1}}, {102, {1, 1, 0}}, {110, {1, 0, 0}}, {160, {0, 0, 0}}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        for (int p = 0; p < PPS_PRIORITY_COUNT; p++) {
            pps_usage_t usage = {"busy", cases[i].taken, cases[i].taken};
            pps_admission_t *admission;
            int64_t retry_us;
            int error;

            cr_assert_eq(pps_admission_new(&admission), 0);
            pps_admission_set_capacity(admission, SLOTS);
            cr_assert_eq(
                pps_admission_update_peer(admission, "h", &usage, 1, 1), 0);
            pps_admission_tick(admission, 1);
            error =
                enter(admission, "w", (pps_priority_t)p, INT64_MAX, &retry_us);
            cr_expect_eq(error, cases[i].admitted[p] ? PPS_OK : PPS_EREFUSED,
                         "%d taken, priority %d", cases[i].taken, p);
            cr_expect_eq(retry_us > 0, error < 0);
            pps_admission_free(admission);
        }
    }
}

Test(admission, requests_that_would_miss_their_deadline_are_refused)
{
    static const struct {
        int taken;
        int64_t deadline_us;
        int error;
    } cases[] = {
        {0, INT64_MAX, PPS_OK},
        {0, SERVICE_US, PPS_OK},
        {0, SERVICE_US - 1, PPS_ETIMEOUT},
        {140, SERVICE_US, PPS_ETIMEOUT},
        {140, 2 * SERVICE_US, PPS_OK},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_usage_t usage = {"busy", cases[i].taken, 0};
        pps_admission_t *admission;
        int64_t retry_us;

        cr_assert_eq(pps_admission_new(&admission), 0);
        pps_admission_set_capacity(admission, SLOTS);
        cr_assert_eq(pps_admission_update_peer(admission, "h", &usage, 1, 1),
                     0);
        pps_admission_tick(admission, 1);
        cr_expect_eq(enter(admission, "w", PPS_PRIORITY_INTERACTIVE,
                           cases[i].deadline_us, &retry_us),
                     cases[i].error, "case %zu", i);
        pps_admission_free(admission);
    }
}

/** Sends the usage of each host to all others and starts a new period. */
static void
exchange_usage(pps_admission_t *hosts[HOSTS], int64_t now_us)
{
    for (int h = 0; h < HOSTS; h++) {
        char name[2] = {(char)('a' + h), 0};
        pps_usage_t usage[2];
        size_t count = pps_admission_get_usage(hosts[h], usage, 2);

        for (int other = 0; other < HOSTS; other++) {
            if (other != h) {
                cr_assert_eq(pps_admission_update_peer(hosts[other], name,
                                                       usage, count, now_us),
                             0);
            }
        }
    }
    for (int h = 0; h < HOSTS; h++) {
        pps_admission_tick(hosts[h], now_us);
    }
}

/** One workspace fills all hosts with requests that never end. */
Test(admission, a_share_is_limited_across_all_hosts)
{
    pps_admission_t *hosts[HOSTS];
    int flood = 0;
    int64_t retry_us;

    for (int h = 0; h < HOSTS; h++) {
        cr_assert_eq(pps_admission_new(&hosts[h]), 0);
        pps_admission_set_capacity(hosts[h], SLOTS);
    }
    for (int64_t period = 1; period < 50; period++) {
        exchange_usage(hosts, period * PPS_ADMISSION_PERIOD_US);
        for (int n = 0; n < 200; n++) {
            flood += enter(hosts[n % HOSTS], "flood", PPS_PRIORITY_NORMAL,
                           INT64_MAX, &retry_us) == 0;
        }
    }
    cr_expect_leq(flood, SLOTS * 105 / 100);
    cr_expect_geq(flood, SLOTS * 85 / 100);
    for (int h = 0; h < HOSTS; h++) {
        cr_expect_eq(enter(hosts[h], "quiet", PPS_PRIORITY_INTERACTIVE,
                           INT64_MAX, &retry_us),
                     0);
        pps_admission_free(hosts[h]);
    }
}

Test(admission, usage_of_a_silent_host_expires)
{
    pps_usage_t usage = {"busy", 200, 200};
    pps_admission_t *admission;
    int64_t retry_us;

    cr_assert_eq(pps_admission_new(&admission), 0);
    pps_admission_set_capacity(admission, SLOTS);
    cr_assert_eq(pps_admission_update_peer(admission, "h", &usage, 1, 1), 0);
    pps_admission_tick(admission, 1);
    cr_expect_eq(
        enter(admission, "w", PPS_PRIORITY_NORMAL, INT64_MAX, &retry_us),
        PPS_EREFUSED);
    pps_admission_tick(admission, 10000000);
    cr_expect_eq(
        enter(admission, "w", PPS_PRIORITY_NORMAL, INT64_MAX, &retry_us),
        PPS_OK);
    pps_admission_leave(admission, "w");
    pps_admission_free(admission);
}

Test(retry_budget, retries_are_a_share_of_successes)
{
    static const struct {
        double share;
        unsigned int burst;
        int successes;
        int granted; /**< retries granted after the burst is used up */
    } cases[] = {
        {0.1, 10, 0, 0}, {0.1, 10, 9, 0}, {0.1, 10, 50, 5}, {0.1, 3, 500, 3}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_retry_budget_t budget;
        int granted = 0;

        pps_retry_budget_init(&budget, cases[i].share, cases[i].burst);
        while (pps_retry_budget_spend(&budget) == 0) {
            granted++;
        }
        cr_expect_eq(granted, (int)cases[i].burst);
        for (int n = 0; n < cases[i].successes; n++) {
            pps_retry_budget_earn(&budget);
        }
        granted = 0;
        while (pps_retry_budget_spend(&budget) == 0) {
            granted++;
        }
        cr_expect_eq(granted, cases[i].granted, "case %zu", i);
    }
}
