/** @file test_worker_permits.c @brief The permits of a brittle worker, a
 * host's part of them, and which workers are taken for brittle. */
#include "clock.h"
#include "pool/brittle_upstream.h"
#include "pool/worker_permits.h"

#include <criterion/criterion.h>

#define NOW_US (100 * PPS_US_PER_S)
#define SLOTS 10

typedef struct {
    const char *name;
    double held;        /* at the last rejection; negative: none */
    int64_t rejected_s; /* time since then */
    pps_host_rank_t rank;
    unsigned int part;    /* requests that this host may have at the worker */
    unsigned int largest; /* size of the largest ones */
} permit_case_t;

static const permit_case_t permit_cases[] = {
    {"the only host", -1, 0, {1, 1, 0}, 10},
    {"ranks first of three", -1, 0, {3, 3, 0}, 4},
    {"ranks second of three", -1, 0, {3, 3, 1}, 3},
    {"more hosts than permits, ranks before the last", -1, 0, {20, 20, 9}, 1},
    {"more hosts than permits, ranks after", -1, 0, {20, 20, 10}, 0},
    {"no part", -1, 0, {0, 0, -1}, 0},
    {"it has just rejected", 6, 0, {1, 1, 0}, 5},
    {"it rejected some time ago", 6, 2, {1, 1, 0}, 7},
    {"it rejected long ago", 6, 60, {1, 1, 0}, 10},
    {"it rejected though it held little", 0, 0, {1, 1, 0}, 1},
    {"it held more than was allowed", 30, 0, {1, 1, 0}, 8},
    {"it has just rejected, ranks after", 6, 0, {20, 20, 5}, 0},
    {"two of four hosts are not heard", -1, 0, {2, 4, 0}, 3},
    {"most hosts are not heard", -1, 0, {1, 20, 0}, 1},
    {"requests of three, ranks first", -1, 0, {20, 20, 0}, 4, 3},
    {"requests of three, ranks third", -1, 0, {20, 20, 2}, 3, 3},
    {"requests of three, ranks fourth", -1, 0, {20, 20, 3}, 0, 3},
    {"requests of three, the only host", -1, 0, {1, 1, 0}, 10, 3},
    {"requests of all slots, ranks first", -1, 0, {20, 20, 0}, 10, 10},
    {"requests of all slots, ranks second", -1, 0, {20, 20, 1}, 0, 10},
    {"it has just rejected, requests of six", 6, 0, {20, 20, 0}, 5, 6},
};

Test(worker_permits, table)
{
    for (size_t i = 0; i < sizeof(permit_cases) / sizeof(*permit_cases); i++) {
        const permit_case_t *item = &permit_cases[i];
        pps_worker_permits_t permits = {0};
        pps_permit_pool_t pool;
        unsigned int part;

        cr_expect_eq(pps_worker_permits_name(&permits, NOW_US), 1);
        cr_expect_eq(pps_worker_permits_name(&permits, NOW_US), 0);
        if (item->held >= 0) {
            pps_worker_permits_reject(&permits, item->held, SLOTS,
                                      NOW_US -
                                          item->rejected_s * PPS_US_PER_S);
        }
        pool.largest = item->largest;
        pool.total = pps_worker_permits_total(&permits, SLOTS, NOW_US);
        part = pps_permit_part(&pool, &item->rank);
        cr_expect_eq(part, item->part, "%s: %u", item->name, part);
    }
}

/* Whatever the hosts know of the worker's load, what they may have there
 * together is not more than its slots. */
Test(worker_permits, sum_of_all_hosts)
{
    for (unsigned int n = 0; n < 4 * 300; n++) {
        unsigned int hosts = n / 4 + 1;
        unsigned int largest = n % 4 + 1;
        const pps_permit_pool_t pool = {SLOTS, largest};
        unsigned int sum = 0;

        for (unsigned int i = 0; i < hosts; i++) {
            const pps_host_rank_t rank = {hosts, hosts, (int)i};

            sum += pps_permit_part(&pool, &rank);
        }
        cr_expect_eq(sum, SLOTS, "%u hosts: %u", hosts, sum);
    }
}

/* Rejections of one moment lower the permits once, later ones again. */
Test(worker_permits, rejections_in_series)
{
    pps_worker_permits_t permits = {0};

    pps_worker_permits_name(&permits, NOW_US);
    for (int i = 0; i < 5; i++) {
        pps_worker_permits_reject(&permits, SLOTS, SLOTS, NOW_US + i);
    }
    cr_expect_float_eq(pps_worker_permits_total(&permits, SLOTS, NOW_US), 8.5,
                       0.01);
    pps_worker_permits_reject(&permits, SLOTS, SLOTS,
                              NOW_US + PPS_US_PER_S / 2);
    cr_expect_float_eq(
        pps_worker_permits_total(&permits, SLOTS, NOW_US + PPS_US_PER_S / 2),
        9 * 0.85, 0.01);
}

/* An answer that is older than the last statement does not end it. */
Test(worker_permits, end)
{
    pps_worker_permits_t permits = {0};

    pps_worker_permits_name(&permits, NOW_US);
    cr_expect_eq(pps_worker_permits_end(&permits, NOW_US), 0);
    cr_expect_eq(permits.is_brittle, 1);
    cr_expect_eq(pps_worker_permits_end(&permits, NOW_US + 1), 1);
    cr_expect_eq(permits.is_brittle, 0);
    cr_expect_eq(permits.denied_us, NOW_US + 1);
    cr_expect_eq(pps_worker_permits_end(&permits, NOW_US + 2), 0);
}

typedef struct {
    const char *name;
    int64_t named_ms[2];      /* when a worker said so; negative: none has */
    int64_t upstream_deny_ms; /* an answer without; negative: none */
    int64_t denied_ms; /* the same of the worker; 0: it has not answered */
    int is_covered;
} upstream_case_t;

static const upstream_case_t upstream_cases[] = {
    {"nothing is heard of any worker", {-1, -1}, -1, 0, 1},
    {"another worker bears rejections", {-1, -1}, 500, 0, 0},
    {"another worker is brittle", {5000, -1}, -1, 0, 1},
    {"it answered just before the first statement", {5000, -1}, -1, 4990, 1},
    {"it answered long before another said so", {5000, -1}, -1, 1000, 1},
    {"it has answered without it since", {5000, 6000}, -1, 5500, 0},
    {"it answered without it, others go on", {5000, 8000}, -1, 5500, 1},
    {"an answer is as old as the statement", {5000, -1}, 5000, 0, 1},
    {"an answer crossed the statement", {5000, -1}, 5800, 0, 1},
    {"nobody has said so for a while", {5000, -1}, 6500, 0, 0},
};

Test(brittle_upstream, table)
{
    for (size_t i = 0; i < sizeof(upstream_cases) / sizeof(*upstream_cases);
         i++) {
        const upstream_case_t *item = &upstream_cases[i];
        pps_brittle_upstream_t upstream = {0};

        for (int n = 0; n < 2 && item->named_ms[n] >= 0; n++) {
            cr_expect_eq(pps_brittle_upstream_name(
                             &upstream, item->named_ms[n] * PPS_US_PER_MS),
                         n == 0);
        }
        if (item->upstream_deny_ms >= 0) {
            pps_brittle_upstream_deny(&upstream,
                                      item->upstream_deny_ms * PPS_US_PER_MS);
        }
        cr_expect_eq(pps_brittle_upstream_covers(&upstream, item->denied_ms *
                                                                PPS_US_PER_MS),
                     item->is_covered, "%s", item->name);
    }
}
