/** @file test_uncounted_calls.c @brief Requests that were sent to a worker
 * before hosts kept to its permits take slots from new ones. */
#include "clock.h"
#include "pool/pool.h"
#include "pool/uncounted_calls.h"

#include <criterion/criterion.h>

#define SLOTS 10
#define BEGIN_US (100 * PPS_US_PER_S)
#define AT_MS(ms) (BEGIN_US + (ms)*PPS_US_PER_MS)

static const pps_service_time_t service = {SLOTS, 1 * PPS_US_PER_S};

/** What a worker was seen to hold, at a time after the begin. */
typedef struct {
    double held; /* negative: not seen */
    int64_t ms;
} sight_t;

typedef struct {
    const char *name;
    sight_t sights[2];
    int64_t ms; /* after the begin */
    double bound;
} bound_case_t;

static const bound_case_t cases[] = {
    {"nobody has heard it, one host finds out", {{-1}, {-1}}, 0, SLOTS - 1},
    {"nobody has heard it for long", {{-1}, {-1}}, 4000, 0},
    {"its queue is full", {{30, 0}, {-1}}, 0, 30},
    {"a queue takes the time of its requests", {{30, 0}, {-1}}, 1500, 15},
    {"its queue is empty", {{8, 0}, {-1}}, 0, 8},
    {"those that run end", {{8, 0}, {-1}}, 500, 4},
    {"all have ended", {{8, 0}, {-1}}, 1000, 0},
    {"it holds more, by new requests", {{4, 0}, {9, 100}}, 100, 3.6},
    {"it holds fewer", {{8, 0}, {2, 100}}, 100, 2},
    {"seen before the begin", {{2, -1}, {-1}}, 0, SLOTS - 1},
    {"it holds nothing else", {{0, 0}, {-1}}, 0, 0},
};

Test(uncounted_calls, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const bound_case_t *item = &cases[i];
        pps_uncounted_calls_t calls = {0};

        pps_uncounted_calls_begin(&calls, BEGIN_US);
        for (int s = 0; s < 2; s++) {
            if (item->sights[s].held >= 0) {
                pps_uncounted_calls_note_held(&calls, item->sights[s].held,
                                              &service,
                                              AT_MS(item->sights[s].ms));
            }
        }
        cr_expect_float_eq(
            pps_uncounted_calls_bound(&calls, &service, AT_MS(item->ms)),
            item->bound, 0.01, "%s: %f", item->name,
            pps_uncounted_calls_bound(&calls, &service, AT_MS(item->ms)));
    }
}

/** Seen once, at the begin, by a host that has had no answer yet. */
static const bound_case_t unknown_time_cases[] = {
    {"a queue", {{30, 0}}, 1000, 27.5},
    {"those that run", {{8, 0}}, 2000, 4},
    {"all have ended", {{8, 0}}, 4000, 0},
};

Test(uncounted_calls, requests_of_unknown_length_are_taken_for_short)
{
    static const pps_service_time_t unknown = {.slots = SLOTS};

    for (size_t i = 0;
         i < sizeof(unknown_time_cases) / sizeof(*unknown_time_cases); i++) {
        const bound_case_t *item = &unknown_time_cases[i];
        pps_uncounted_calls_t calls = {0};

        pps_uncounted_calls_begin(&calls, BEGIN_US);
        pps_uncounted_calls_note_held(&calls, item->sights[0].held, &unknown,
                                      BEGIN_US);
        cr_expect_float_eq(
            pps_uncounted_calls_bound(&calls, &unknown, AT_MS(item->ms)),
            item->bound, 0.01, "%s", item->name);
    }
}

typedef struct {
    const char *name;
    int64_t received_us; /* the worker's first record */
    int64_t start_ms;    /* of its second record; the first has 1 */
    double bound;
} listing_case_t;

static const listing_case_t listings[] = {
    {"a worker that a host has just learnt of", BEGIN_US, 1, SLOTS - 1},
    {"a worker that has started again", BEGIN_US, 2, 0},
};

Test(uncounted_calls, begin_with_the_first_record)
{
    for (size_t i = 0; i < sizeof(listings) / sizeof(*listings); i++) {
        pps_worker_info_t info = {.id = "w",
                                  .address = "127.0.0.1:9",
                                  .slots = SLOTS,
                                  .start_ms = 1,
                                  .received_us = listings[i].received_us};
        pps_pool_t *pool;

        cr_assert_eq(pps_pool_new(&pool), 0);
        pps_pool_put(pool, &info);
        info.start_ms = listings[i].start_ms;
        pps_pool_put(pool, &info);
        cr_expect_float_eq(
            pps_uncounted_calls_bound(&pps_pool_lookup(pool, "w")->uncounted,
                                      &service, BEGIN_US),
            listings[i].bound, 0.01, "%s", listings[i].name);
        pps_pool_free(pool);
    }
}

typedef struct {
    const char *name;
    unsigned int begun_before;
    unsigned int begun_after;
    unsigned int ended;
    unsigned int before; /* left of the first */
} call_case_t;

static const call_case_t calls_cases[] = {
    {"none has ended", 3, 2, 0, 3},
    {"the oldest end first", 3, 2, 2, 1},
    {"only new ones are left", 3, 2, 4, 0},
};

Test(uncounted_calls, calls_of_this_host)
{
    for (size_t i = 0; i < sizeof(calls_cases) / sizeof(*calls_cases); i++) {
        const call_case_t *item = &calls_cases[i];
        const pps_worker_info_t info = {.id = "w", .address = "127.0.0.1:9"};
        pps_pool_worker_t *worker;
        pps_pool_t *pool;

        cr_assert_eq(pps_pool_new(&pool), 0);
        pps_pool_put(pool, &info);
        worker = pps_pool_lookup(pool, "w");
        for (unsigned int c = 0; c < item->begun_before; c++) {
            pps_pool_take_slots(worker, 1);
        }
        pps_pool_begin_permits(worker, BEGIN_US);
        for (unsigned int c = 0; c < item->begun_after; c++) {
            pps_pool_take_slots(worker, 1);
        }
        for (unsigned int c = 0; c < item->ended; c++) {
            pps_pool_return_slots(worker, 1);
        }
        cr_expect_eq(worker->slots_before, item->before, "%s: %u", item->name,
                     worker->slots_before);
        pps_pool_free(pool);
    }
}
