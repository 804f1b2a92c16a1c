/** @file test_poison_table.c @brief Tests which keys block which requests. */
#include "clock.h"
#include "poison/poison_key.h"
#include "poison/poison_table.h"

#include <criterion/criterion.h>
#include <string.h>

#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define T0 (1000 * S)
#define EVENTS_MAX 8
#define KEYS_MAX 4
#define PART(n) (2 * (uint64_t)(n))
#define REQUEST(n) (2 * (uint64_t)(n) + 1)

/* A worker's end, or an answer that went on. */
typedef struct {
    int64_t at_ms; /* since T0 */
    int begun_ms;  /* how long before its answer had begun */
    int is_good;
    uint64_t keys[KEYS_MAX];
    uint64_t worker; /* that ended; 0: not told */
    uint64_t id;     /* of the end; 0: its place in the case */
} event_t;

typedef struct {
    const char *what;
    event_t events[EVENTS_MAX];
    int64_t asked_ms;
    uint64_t request[KEYS_MAX];
    uint64_t blocked_by;
    int is_doubtful;
} table_case_t;

static const table_case_t cases[] = {
    {"two ends",
     {{0, 50, 0, {PART(1)}}, {100, 50, 0, {PART(1)}}},
     200,
     {PART(1)},
     0,
     0},
    {"three ends",
     {{0, 50, 0, {PART(1)}}, {100, 50, 0, {PART(1)}}, {200, 50, 0, {PART(1)}}},
     300,
     {PART(1)},
     PART(1),
     0},
    {"three ends at the same moment: a rack",
     {{0, 50, 0, {PART(1)}}, {5, 60, 0, {PART(1)}}, {9, 70, 0, {PART(1)}}},
     300,
     {PART(1)},
     0,
     0},
    {"quick ends, each after the one before",
     {{0, 5, 0, {PART(1)}}, {10, 5, 0, {PART(1)}}, {20, 5, 0, {PART(1)}}},
     300,
     {PART(1)},
     PART(1),
     0},
    {"ends that are ten minutes apart",
     {{0, 50, 0, {PART(1)}},
      {601000, 50, 0, {PART(1)}},
      {1202000, 50, 0, {PART(1)}}},
     1203000,
     {PART(1)},
     0,
     0},
    {"an answer that began later went on",
     {{0, 50, 0, {PART(1)}},
      {100, 50, 0, {PART(1)}},
      {200, 50, 0, {PART(1)}},
      {700, 500, 1, {PART(1)}}},
     800,
     {PART(1)},
     0,
     0},
    {"an answer that began before went on",
     {{0, 50, 0, {PART(1)}},
      {100, 50, 0, {PART(1)}},
      {200, 50, 0, {PART(1)}},
      {700, 800, 1, {PART(1)}}},
     800,
     {PART(1)},
     PART(1),
     1},
    {"three ends of a part that was good",
     {{0, 500, 1, {PART(1)}},
      {100, 50, 0, {PART(1)}},
      {200, 50, 0, {PART(1)}},
      {300, 50, 0, {PART(1)}}},
     400,
     {PART(1)},
     0,
     0},
    {"five ends of a part that was good",
     {{0, 500, 1, {PART(1)}},
      {100, 50, 0, {PART(1)}},
      {200, 50, 0, {PART(1)}},
      {300, 50, 0, {PART(1)}},
      {400, 50, 0, {PART(1)}},
      {500, 50, 0, {PART(1)}}},
     600,
     {PART(1)},
     PART(1),
     1},
    {"a sound part beside a bad one",
     {{0, 50, 0, {PART(1), PART(2)}},
      {100, 50, 0, {PART(1), PART(2)}},
      {200, 50, 0, {PART(1), PART(2)}}},
     300,
     {PART(1), PART(3)},
     0,
     0},
    {"both parts",
     {{0, 50, 0, {PART(1), PART(2)}},
      {100, 50, 0, {PART(1), PART(2)}},
      {200, 50, 0, {PART(1), PART(2)}}},
     300,
     {PART(3), PART(2), PART(1)},
     PART(2),
     0},
    {"the request itself may be the cause",
     {{0, 50, 0, {PART(1), REQUEST(5)}},
      {100, 50, 0, {PART(1), REQUEST(5)}},
      {200, 50, 0, {PART(1), REQUEST(5)}}},
     300,
     {PART(1), REQUEST(6)},
     0,
     0},
    {"two requests are no two causes of what they share",
     {{0, 50, 0, {PART(1), REQUEST(5)}},
      {100, 50, 0, {PART(1), REQUEST(5)}},
      {200, 50, 0, {PART(1), REQUEST(5)}},
      {300, 50, 0, {PART(1), REQUEST(6)}}},
     400,
     {PART(1), REQUEST(7)},
     PART(1),
     0},
    {"two bad parts share a sound one",
     {{0, 50, 0, {PART(1), PART(8)}},
      {100, 50, 0, {PART(1), PART(8)}},
      {200, 50, 0, {PART(1), PART(8)}},
      {300, 50, 0, {PART(1), PART(9)}}},
     400,
     {PART(1), PART(3)},
     0,
     0},
    {"two parts that are not convicted may be the causes",
     {{0, 50, 0, {PART(1), PART(8)}},
      {100, 50, 0, {PART(1), PART(8)}},
      {200, 50, 0, {PART(1), PART(9)}}},
     300,
     {PART(1), PART(3)},
     PART(1),
     1},
    {"parts of bystanders raise no doubt about a request",
     {{0, 50, 0, {REQUEST(5), PART(8)}},
      {100, 50, 0, {REQUEST(5), PART(8)}},
      {200, 50, 0, {REQUEST(5), PART(9)}}},
     300,
     {REQUEST(5)},
     REQUEST(5),
     0},
    {"half an hour after the last end",
     {{0, 50, 0, {PART(1)}}, {100, 50, 0, {PART(1)}}, {200, 50, 0, {PART(1)}}},
     1801000,
     {PART(1)},
     0,
     0},
    {"a host knew the worker by the start before",
     {{0, 50, 0, {PART(8), REQUEST(5)}, 1, 1},
      {100, 50, 0, {PART(8), REQUEST(5)}, 2, 2},
      {1000, 50, 0, {PART(8)}, 2, 9},
      {1002, 50, 0, {REQUEST(5)}, 2, 3}},
     1100,
     {REQUEST(5)},
     0,
     0},
    {"a worker ends again",
     {{0, 50, 0, {PART(1)}, 1, 1},
      {1000, 50, 0, {PART(1)}, 1, 2},
      {2000, 50, 0, {PART(1)}, 1, 3}},
     2100,
     {PART(1)},
     PART(1),
     0},
    {"one end that is told again, late",
     {{0, 50, 0, {PART(1)}, 1, 1},
      {600, 50, 0, {PART(1)}, 1, 1},
      {900, 50, 0, {PART(1)}, 2, 2}},
     1000,
     {PART(1)},
     0,
     0},
    {"one end under two names",
     {{0, 50, 0, {PART(1)}, 1, 1},
      {40, 50, 0, {PART(1)}, 1, 2},
      {200, 50, 0, {PART(1)}, 2, 3}},
     300,
     {PART(1)},
     0,
     0},
    {"silent attempts after an end",
     {{0, 50, 0, {PART(1)}, 1, 1},
      {400, 150, 0, {PART(1)}, 0, 1},
      {900, 150, 0, {PART(1)}, 0, 1}},
     1000,
     {PART(1)},
     0,
     0},
    {"one end that a host sees late",
     {{0, 50, 0, {PART(1)}, 1, 1},
      {900, 950, 0, {PART(1)}, 1, 1},
      {1000, 50, 0, {PART(1)}, 2, 3}},
     1100,
     {PART(1)},
     0,
     0},
    {"one more end after half an hour",
     {{0, 50, 0, {PART(1)}},
      {100, 50, 0, {PART(1)}},
      {200, 50, 0, {PART(1)}},
      {1802000, 50, 0, {PART(1)}}},
     1803000,
     {PART(1)},
     PART(1),
     0},
};

static size_t
count_keys(const uint64_t *keys)
{
    size_t count = 0;

    while (count < KEYS_MAX && keys[count] != 0) {
        count++;
    }
    return count;
}

static void
apply(pps_poison_table_t *table, const event_t *event, uint64_t id)
{
    int64_t at_us = T0 + event->at_ms * MS;
    int64_t begun_us = at_us - event->begun_ms * MS;

    for (size_t i = 0; i < count_keys(event->keys); i++) {
        const pps_poison_evidence_t evidence = {
            .key = event->keys[i],
            .crashes = {{event->id != 0 ? event->id : id, begun_us, at_us,
                         event->worker}},
            .crash_count = 1,
        };

        if (event->is_good) {
            pps_poison_table_note_good(table, event->keys[i], begun_us);
        }
        else {
            pps_poison_table_merge(table, &evidence, NULL);
        }
    }
}

/* Order and repeats must not matter to what other hosts tell. */
Test(poison_table, request_is_blocked_only_by_what_may_be_the_cause)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const table_case_t *item = &cases[i];
        pps_poison_table_t *table;
        pps_poison_block_t block;

        cr_assert_eq(pps_poison_table_new(&table), 0);
        for (int round = 0; round < 2; round++) {
            for (uint64_t n = 0; n < EVENTS_MAX; n++) {
                apply(table, &item->events[n], n + 1);
            }
        }
        block = pps_poison_table_find_block(table, item->request,
                                            count_keys(item->request),
                                            T0 + item->asked_ms * MS);
        cr_expect_eq(block.key, item->blocked_by, "%s: by %d", item->what,
                     (int)block.key);
        cr_expect_eq(block.is_doubtful, item->is_doubtful, "%s", item->what);
        pps_poison_table_free(table);
    }
}

Test(poison_table, trials_of_a_doubtful_key_become_rare)
{
    static const struct {
        int64_t at_s;
        int is_granted;
    } steps[] = {{0, 0},  {1, 1},  {2, 0},  {5, 1},   {6, 0},
                 {36, 0}, {37, 1}, {60, 0}, {292, 0}, {293, 1}};
    const event_t end = {0, 50, 0, {PART(1)}};
    pps_poison_table_t *table;

    cr_assert_eq(pps_poison_table_new(&table), 0);
    apply(table, &end, 1);
    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        cr_expect_eq(pps_poison_table_take_trial(table, PART(1),
                                                 T0 + steps[i].at_s * S),
                     steps[i].is_granted, "%d s", (int)steps[i].at_s);
    }
    pps_poison_table_free(table);
}

typedef enum {
    TAKE,
    END,
    CRASH,
} trial_event_t;

/* Guards against a sound key that is blocked for half an hour because its
 * trials met hosts without workers. */
Test(poison_table, trial_that_shows_nothing_counts)
{
    static const struct {
        int64_t at_s;
        trial_event_t event;
        int is_granted;
    } steps[] = {{1, TAKE, 1},  {2, END, 0},  {2, TAKE, 0},   {3, TAKE, 1},
                 {4, CRASH, 0}, {4, END, 0},  {5, TAKE, 0},   {7, TAKE, 1},
                 {8, END, 0},   {9, TAKE, 1}, {10, CRASH, 0}, {10, END, 0},
                 {40, TAKE, 0}, {41, TAKE, 1}};
    const event_t end = {0, 50, 0, {PART(1)}};
    pps_poison_table_t *table;

    cr_assert_eq(pps_poison_table_new(&table), 0);
    apply(table, &end, 1);
    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        const event_t crash = {steps[i].at_s * 1000, 50, 0, {PART(1)}};

        switch (steps[i].event) {
        case TAKE:
            cr_expect_eq(pps_poison_table_take_trial(table, PART(1),
                                                     T0 + steps[i].at_s * S),
                         steps[i].is_granted, "step %zu", i);
            break;
        case END:
            pps_poison_table_end_trial(table, PART(1), T0 + steps[i].at_s * S);
            break;
        case CRASH:
            apply(table, &crash, 2 + i);
            break;
        }
    }
    pps_poison_table_free(table);
}

Test(poison_table, memory_is_bounded_and_convictions_outlive_the_rest)
{
    static const uint64_t convicted[] = {PART(1)};
    pps_poison_table_t *table;

    cr_assert_eq(pps_poison_table_new(&table), 0);
    for (int n = 0; n < 3; n++) {
        apply(table, &(event_t){n * 100, 50, 0, {PART(1)}}, (uint64_t)n + 1);
    }
    for (uint64_t n = 10; n < 5000; n++) {
        apply(table, &(event_t){400, 50, 0, {PART(n), REQUEST(n)}}, n);
    }
    cr_expect_leq(pps_poison_table_count(table), 512);
    cr_expect_eq(
        pps_poison_table_find_block(table, convicted, 1, T0 + 500 * MS).key,
        PART(1));
    pps_poison_table_sweep(table, T0 + 1000 * S);
    cr_expect_eq(pps_poison_table_count(table), 1);
    pps_poison_table_sweep(table, T0 + 100000 * S);
    cr_expect_eq(pps_poison_table_count(table), 0);
    pps_poison_table_free(table);
}
