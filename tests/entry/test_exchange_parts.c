/** @file test_exchange_parts.c @brief Tests the decisions and parsers
 * that an exchange uses. */
#include "clock.h"
#include "exchange/event_split.h"
#include "exchange/lateness.h"
#include "exchange/model_choice.h"
#include "exchange/repeat_limit.h"
#include "exchange/retry_after.h"
#include "papayaswitch/errors.h"
#include "pool/prefill_queue.h"
#include "pool/prefix_affinity.h"

#include <criterion/criterion.h>
#include <string.h>

#define S PPS_US_PER_S

static void
on_event(void *user, const char *text, size_t size, int64_t id)
{
    pps_buf_printf(user, "%d[%zu]", (int)id, size);
}

typedef struct {
    const char *text;
    const char *events;
    size_t partial_bytes;
} split_case_t;

static const split_case_t splits[] = {
    {"id: 1\ndata: a\n\n", "1[15]", 0},
    {"id:7\ndata: a\n\nid: 8\ndata: b\n\n", "7[14]8[15]", 0},
    {"data: a\n\n", "-1[9]", 0},
    {"id: 3\r\ndata: a\r\n\r\n", "3[18]", 0},
    {"id: 1\ndata: a\n\nid: 2\nda", "1[15]", 8},
    {"id: x\n\n", "-1[7]", 0},
    {"weights: 4\nid: 12\ndata: a\n\n", "12[27]", 0},
    {"id: 99999999999999999999\n\n", "-1[26]", 0},
};

/* The events must not depend on how the bytes are split into reads. */
Test(event_split, every_split_position)
{
    for (size_t i = 0; i < sizeof(splits) / sizeof(*splits); i++) {
        size_t size = strlen(splits[i].text);

        for (size_t split_at = 0; split_at <= size; split_at++) {
            pps_event_split_t split = {PPS_BUF_INIT};
            pps_buf_t received = PPS_BUF_INIT;

            pps_event_split_feed(&split, splits[i].text, split_at, on_event,
                                 &received);
            pps_event_split_feed(&split, splits[i].text + split_at,
                                 size - split_at, on_event, &received);
            cr_expect_str_eq(pps_buf_text(&received), splits[i].events,
                             "case %zu split at %zu", i, split_at);
            cr_expect_eq(split.partial.size, splits[i].partial_bytes);
            pps_event_split_reset(&split);
            pps_buf_clear(&received);
        }
    }
}

static void
on_long_event(void *user, const char *text, size_t size, int64_t id)
{
    *(size_t *)user += size;
}

#define LONG_EVENT_BYTES (250U << 10)
#define LONG_EVENTS 40
#define SMALL_PIECE_BYTES 8

/* Guards against a search that begins anew with each piece: an event in small
 * pieces then takes the host's time from all others. That would be 10 TB to
 * search here, for the timeout of the test. */
Test(event_split, small_pieces_are_searched_again, .timeout = 30)
{
    static const struct {
        const char *name;
        char piece[SMALL_PIECE_BYTES + 1];
    } forms[] = {{"one line", "a long l"},
                 {"many lines", "data: x\n"},
                 {"empty line ends", "data: \r\n"}};

    for (size_t i = 0; i < sizeof(forms) / sizeof(*forms); i++) {
        pps_event_split_t split = {PPS_BUF_INIT};
        size_t passed = 0;

        for (int event = 0; event < LONG_EVENTS; event++) {
            for (size_t sent = 0; sent < LONG_EVENT_BYTES;
                 sent += SMALL_PIECE_BYTES) {
                cr_assert_eq(pps_event_split_feed(&split, forms[i].piece,
                                                  SMALL_PIECE_BYTES,
                                                  on_long_event, &passed),
                             0);
            }
            pps_event_split_feed(&split, "\n\n\n", 3, on_long_event, &passed);
            pps_event_split_reset(&split);
        }
        cr_expect_geq(passed, (size_t)LONG_EVENTS * LONG_EVENT_BYTES, "%s",
                      forms[i].name);
    }
}

/* What was passed on is not kept. */
Test(event_split, memory_of_passed_events_is_kept)
{
    pps_event_split_t split = {PPS_BUF_INIT};
    size_t passed = 0;

    pps_event_split_feed(&split, "id: 1\ndata", 10, on_long_event, &passed);
    cr_expect_eq(split.partial.size, 10);
    pps_event_split_feed(&split, ": a\n\n", 5, on_long_event, &passed);
    cr_expect_eq(passed, 15);
    cr_expect_eq(split.partial.capacity, 0);
}

typedef struct {
    pps_model_choice_t choice;
    size_t next;
} model_case_t;

/* model, models, confidence, attempts left, threshold, load, repeats used */
static const model_case_t models[] = {
    {{0, 3, 80, 2, 50, 0.1}, 0},
    {{0, 3, 20, 2, 50, 0.1}, 2},
    {{0, 3, 20, 0, 50, 0.1}, 0},
    {{0, 3, -1, 2, 50, 0.1}, 0},
    {{2, 3, 0, 2, 50, 0.1}, 2},
    {{0, 1, 0, 2, 50, 0.1}, 0},
    {{0, 3, 40, 2, 50, 0.9}, 0},
    {{0, 3, 5, 2, 50, 0.9}, 2},
    {{0, 3, 0, 2, 50, 1.5}, 0},
    {{0, 3, 50, 2, 50, 0.0}, 0},
    /* The confidence threshold falls as the repeat limit is used up. */
    {{0, 3, 49, 2, 50, 0.1, 0.7}, 2},
    {{0, 3, 40, 2, 50, 0.1, 0.9}, 0},
    {{0, 3, 5, 2, 50, 0.1, 0.9}, 2},
    {{0, 3, 0, 2, 50, 0.1, 1.0}, 0},
};

Test(model_choice, table)
{
    for (size_t i = 0; i < sizeof(models) / sizeof(*models); i++) {
        cr_expect_eq(pps_model_choose(&models[i].choice), models[i].next,
                     "case %zu", i);
    }
}

Test(repeat_limit, sliding_window)
{
    const pps_repeat_bounds_t bounds = {0.5, 2};
    pps_repeat_limit_t limit;
    int repeats = 0;

    pps_repeat_limit_init(&limit, 10 * S);
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 1), 0);
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 1), 0);
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 1), PPS_ELIMIT);
    for (int i = 0; i < 20; i++) {
        pps_repeat_limit_count_request(&limit, 2 * S);
    }
    while (pps_repeat_limit_take(&limit, &bounds, 3 * S, 1) == 0) {
        repeats++;
    }
    cr_expect_eq(repeats, 10);
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, 14 * S, 1), 0);
}

/* A kind of repeat with a share below 1 leaves the rest to the other kinds. */
Test(repeat_limit, shares)
{
    const pps_repeat_bounds_t bounds = {0, 10};
    const pps_repeat_bounds_t fewer = {0, 5};
    pps_repeat_limit_t limit;

    pps_repeat_limit_init(&limit, 10 * S);
    for (int i = 0; i < 7; i++) {
        cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 0.7), 0);
    }
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 0.7), PPS_ELIMIT);
    cr_expect_eq(pps_repeat_limit_take(&limit, &bounds, S, 1), 0);
    cr_expect_float_eq(pps_repeat_limit_used(&limit, &bounds, S), 0.8, 0.001);
    /* With more hosts, this host's share shrinks at once. */
    cr_expect_eq(pps_repeat_limit_take(&limit, &fewer, S, 1), PPS_ELIMIT);
    cr_expect_float_eq(pps_repeat_limit_used(&limit, &fewer, S), 1, 0.001);
}

typedef struct {
    const char *what;
    pps_retry_after_t request;
    int64_t min_us;
    int64_t max_us;
} retry_after_case_t;

#define MS 1000

/* reason, time left, busy, slots, answer time, rank, spread */
static const retry_after_case_t retry_after_cases[] = {
    {"another host can serve it",
     {PPS_RETRY_AFTER_OTHER_HOST, 25 * S, 0, 0, 0, 0, 0},
     1,
     50 * MS},
    {"a starting host: about the usual start time",
     {PPS_RETRY_AFTER_STARTING, 25 * S, 0, 0, 0, 0, 0},
     S,
     3 * S},
    {"a starting host, short timeout",
     {PPS_RETRY_AFTER_STARTING, S, 0, 0, 0, 0, 1},
     200 * MS,
     S / 3},
    {"full: one of 10 slots becomes free every 0.3 s",
     {PPS_RETRY_AFTER_FULL, 25 * S, 10, 10, 3.0 * S, 0, 0},
     300 * MS,
     300 * MS},
    {"four requests are queued",
     {PPS_RETRY_AFTER_FULL, 25 * S, 14, 10, 3.0 * S, 0, 0},
     1500 * MS,
     1500 * MS},
    {"lower priority: later",
     {PPS_RETRY_AFTER_FULL, 25 * S, 10, 10, 3.0 * S, 2, 0},
     450 * MS,
     450 * MS},
    {"random spread",
     {PPS_RETRY_AFTER_FULL, 25 * S, 10, 10, 3.0 * S, 0, 1},
     400 * MS,
     450 * MS},
    {"all workers paused: when the first one opens",
     {PPS_RETRY_AFTER_FULL, 25 * S, 10, 10, 3.0 * S, 0, 0, 4 * S},
     4 * S,
     4 * S},
    {"paused, lower priority: after the others",
     {PPS_RETRY_AFTER_NO_WORKER, 25 * S, 10, 10, 3.0 * S, 2, 0, 4 * S},
     4 * S + 1,
     5 * S},
    {"paused beyond the deadline: no earlier time would do",
     {PPS_RETRY_AFTER_FULL, 2 * S, 10, 10, 3.0 * S, 0, 0, 4 * S},
     4 * S,
     4 * S},
    {"slots unknown",
     {PPS_RETRY_AFTER_FULL, 25 * S, 0, 0, 3.0 * S, 0, 0},
     500 * MS,
     S},
};

Test(retry_after, table)
{
    for (size_t i = 0;
         i < sizeof(retry_after_cases) / sizeof(*retry_after_cases); i++) {
        int64_t us = pps_retry_after_compute(&retry_after_cases[i].request);

        cr_expect_geq(us, retry_after_cases[i].min_us, "%s",
                      retry_after_cases[i].what);
        cr_expect_leq(us, retry_after_cases[i].max_us, "%s",
                      retry_after_cases[i].what);
    }
}

/* Guards against simultaneous retries: 40 callers are queued beyond 20 slots
 * that take 1 s per request. No retry is due before the first slot can be
 * free, and all are due within the time in which the slots serve them. */
Test(retry_after, retries_are_spread_as_slots_become_free)
{
    enum { SLOTS = 20, CALLERS = 40 };
    int64_t previous_us = 0;
    int64_t last_us = 0;

    for (int i = 0; i < CALLERS; i++) {
        const pps_retry_after_t request = {
            PPS_RETRY_AFTER_FULL, 10 * S, SLOTS + i, SLOTS, S, 0, 0};
        int64_t us = pps_retry_after_compute(&request);

        cr_expect_geq(us, previous_us);
        cr_expect_geq(us, S / SLOTS);
        previous_us = us;
        last_us = us;
    }
    cr_expect_leq(last_us, (int64_t)CALLERS * S / SLOTS);
}

typedef struct {
    const char *what;
    int64_t elapsed_us;
    int64_t target_us;
    double ratio;
} lateness_case_t;

/* `ratio` is expected after 100 first bytes with the same delay. */
static const lateness_case_t lateness_cases[] = {
    {"a tenth of the target", 150 * MS, 1500 * MS, 0.1},
    {"a tenth of a longer target", 300 * MS, 3 * S, 0.1},
    {"at the target", 1500 * MS, 1500 * MS, 1},
    {"far beyond the target: capped at 1", 60 * S, 1500 * MS, 1},
    {"no target", S, 0, 0},
};

Test(lateness, table)
{
    for (size_t i = 0; i < sizeof(lateness_cases) / sizeof(*lateness_cases);
         i++) {
        pps_lateness_t lateness = {0};

        for (int n = 0; n < 100; n++) {
            pps_lateness_record(&lateness, lateness_cases[i].elapsed_us,
                                lateness_cases[i].target_us);
        }
        cr_expect_float_eq(lateness.ratio, lateness_cases[i].ratio, 0.01, "%s",
                           lateness_cases[i].what);
    }
}

/* One very late answer must not count as load of the whole upstream. */
Test(lateness, one_outlier_is_capped)
{
    pps_lateness_t lateness = {0};

    for (int n = 0; n < 100; n++) {
        pps_lateness_record(&lateness, 75 * MS, 1500 * MS);
    }
    pps_lateness_record(&lateness, 20 * S, 1500 * MS);
    cr_expect_leq(lateness.ratio, 0.1);
}

Test(prefill_queue, drains_at_the_measured_rate)
{
    pps_prefill_rate_t rate = {0.01};
    pps_prefill_queue_t queue = {0};

    pps_prefill_queue_add(&queue, &rate, 10000, S);
    cr_expect_float_eq(pps_prefill_queue_wait_us(&queue, &rate, S), 1e6, 1);
    pps_prefill_queue_add(&queue, &rate, 5000, S + S / 2);
    cr_expect_float_eq(pps_prefill_queue_tokens(&queue, &rate, S + S / 2),
                       10000, 1);
    cr_expect_eq(pps_prefill_queue_tokens(&queue, &rate, 9 * S), 0);
    for (int i = 0; i < 500; i++) {
        pps_prefill_rate_update(&rate, 20000, S);
        pps_prefill_rate_update(&rate, 10, S);
    }
    cr_expect_float_eq(rate.tokens_per_us, 0.02, 0.0005);
}

Test(prefix_affinity, entries_expire_and_are_replaced)
{
    static pps_prefix_affinity_t affinity;

    pps_prefix_affinity_record(&affinity, 42, 7, S);
    cr_expect_eq(pps_prefix_affinity_find_worker(&affinity, 42, 2 * S), 7);
    cr_expect_eq(pps_prefix_affinity_find_worker(&affinity, 43, 2 * S), 0);
    cr_expect_eq(pps_prefix_affinity_find_worker(&affinity, 42, 60 * S), 0);
    pps_prefix_affinity_record(&affinity, 42 + PPS_PREFIX_AFFINITY_ENTRIES, 8,
                               2 * S);
    cr_expect_eq(pps_prefix_affinity_find_worker(&affinity, 42, 2 * S), 0);
}
