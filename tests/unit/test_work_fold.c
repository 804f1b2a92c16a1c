/** @file test_work_fold.c @brief Tests the fold of the stream `work`. */
#include "papayaswitch/record.h"
#include "work/fold_state.h"
#include "work_records.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define HOUR_US (3600 * PPS_US_PER_S)

static void
setup(void)
{
    fake_log_init(&logged);
}

static void
teardown(void)
{
    fake_log_clear(&logged);
}

TestSuite(work_fold, .init = setup, .fini = teardown);

static void
fold_remaining(pps_work_fold_t *fold)
{
    while (pps_work_fold_next(fold) < logged.count) {
        cr_assert_eq(
            pps_work_fold_apply(
                fold, &logged.entries[pps_work_fold_next(fold)], NULL),
            0);
    }
}

static pps_work_fold_t *
fold_all(void)
{
    pps_work_fold_t *fold;

    cr_assert_eq(pps_work_fold_new(&fold, NULL), 0);
    fold_remaining(fold);
    return fold;
}

static void
expect_claim(const char *key, int found, uint64_t offset,
             pps_claim_state_t state)
{
    pps_work_fold_t *fold = fold_all();
    pps_held_claim_t held = {0};
    int error = pps_work_fold_claim(fold, &held, "ministry", key);

    cr_expect_eq(error, found ? 0 : PPS_ENOTFOUND, "key %s", key);
    if (found && error == 0) {
        cr_expect_eq(held.offset, offset, "key %s holder %zu", key,
                     (size_t)held.offset);
        cr_expect_eq(held.state, state, "key %s state %d", key, held.state);
    }
    pps_work_fold_free(fold);
}

/** A sequence of records, one letter each, and the resulting claim. */
typedef struct {
    const char *steps;
    int found;
    uint64_t offset;
    pps_claim_state_t state;
} claim_case_t;

/* a, b: claims of two hosts; A: claim of host a's next incarnation on another
 * key; c, n, u: completed, not run or unknown outcome of the claim at 0; s:
 * not run for the claim at 1; any other letter: a corrupt record. */
static void
put_step(char step)
{
    switch (step) {
    case 'a':
        put_claim("k", "a", 1, 1);
        break;
    case 'b':
        put_claim("k", "b", 1, 1);
        break;
    case 'A':
        put_claim("other", "a", 2, 1);
        break;
    case 'c':
        put_outcome("k", 0, PPS_OUTCOME_COMPLETED, 10);
        break;
    case 'n':
        put_outcome("k", 0, PPS_OUTCOME_NOT_RUN, 0);
        break;
    case 'u':
        put_outcome("k", 0, PPS_OUTCOME_UNKNOWN, 0);
        break;
    case 's':
        put_outcome("k", 1, PPS_OUTCOME_NOT_RUN, 0);
        break;
    default:
        store(0, strdup("junk"), 4);
    }
}

Test(work_fold, claims)
{
    static const claim_case_t cases[] = {
        {"ab", 1, 0, PPS_CLAIM_IN_PROGRESS},
        {"ba", 1, 0, PPS_CLAIM_IN_PROGRESS},
        {"abc", 1, 0, PPS_CLAIM_COMPLETED},
        {"abn", 0, 0, PPS_CLAIM_IN_PROGRESS},
        {"abnb", 1, 3, PPS_CLAIM_IN_PROGRESS},
        {"abnbn", 1, 3, PPS_CLAIM_IN_PROGRESS},
        {"abnbc", 1, 3, PPS_CLAIM_IN_PROGRESS},
        {"abs", 1, 0, PPS_CLAIM_IN_PROGRESS},
        {"acn", 1, 0, PPS_CLAIM_COMPLETED},
        {"au", 1, 0, PPS_CLAIM_UNKNOWN},
        {"aun", 1, 0, PPS_CLAIM_UNKNOWN},
        {"auc", 1, 0, PPS_CLAIM_COMPLETED},
        {"aA", 1, 0, PPS_CLAIM_UNKNOWN},
        {"aAb", 1, 0, PPS_CLAIM_UNKNOWN},
        {"aAc", 1, 0, PPS_CLAIM_COMPLETED},
        {"Aa", 0, 0, PPS_CLAIM_IN_PROGRESS},
        {"Aab", 1, 2, PPS_CLAIM_IN_PROGRESS},
        {"xa", 1, 1, PPS_CLAIM_IN_PROGRESS},
        {"anaa", 1, 2, PPS_CLAIM_IN_PROGRESS},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        fake_log_clear(&logged);
        fake_log_init(&logged);
        for (const char *step = cases[i].steps; *step; step++) {
            put_step(*step);
        }
        expect_claim("k", cases[i].found, cases[i].offset, cases[i].state);
    }
}

Test(work_fold, a_large_body_is_not_kept)
{
    static const struct {
        size_t size;
        int kept;
    } cases[] = {
        {10, 1}, {PPS_OUTCOME_BODY_MAX, 1}, {PPS_OUTCOME_BODY_MAX + 1, 0}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_held_claim_t held;
        pps_work_fold_t *fold;
        char key[16];

        snprintf(key, sizeof(key), "k%zu", i);
        put_outcome(key, put_claim(key, "a", 1, i), PPS_OUTCOME_COMPLETED,
                    cases[i].size);
        fold = fold_all();
        cr_assert_eq(pps_work_fold_claim(fold, &held, "ministry", key), 0);
        cr_expect_eq(held.body != NULL, cases[i].kept);
        cr_expect_eq(held.body_size, cases[i].size);
        cr_expect_eq(held.status, 200);
        pps_work_fold_free(fold);
    }
}

Test(work_fold, claims_are_kept_for_a_day_after_their_last_record)
{
    uint64_t first = put_claim("k", "a", 1, 1);

    logged.time_us += 20 * HOUR_US;
    put_outcome("k", first, PPS_OUTCOME_COMPLETED, 1);
    logged.time_us += 20 * HOUR_US;
    put_claim("other", "b", 1, 1);
    expect_claim("k", 1, first, PPS_CLAIM_COMPLETED);
    logged.time_us += 5 * HOUR_US;
    put_claim("third", "b", 1, 2);
    expect_claim("k", 0, 0, PPS_CLAIM_IN_PROGRESS);
}

/** A sequence of records for a session and the resulting pin. */
typedef struct {
    const char *steps; /**< p, q: pins of two versions; t: touch; x: a claim */
    int minutes[4];    /**< time that passes before each step */
    const char *version; /**< NULL: ended */
} pin_case_t;

Test(work_fold, pins)
{
    static const pin_case_t cases[] = {
        {"pq", {0, 1}, "v1"},      {"px", {0, 12}, "v1"},
        {"px", {0, 13}, NULL},     {"pq", {0, 12}, "v1"},
        {"pq", {0, 13}, "v2"},     {"ptx", {0, 9, 9}, "v1"},
        {"ptq", {0, 9, 9}, "v1"},  {"pt", {0, 60}, "v1"},
        {"pqt", {0, 60, 1}, "v2"}, {"pt", {0, 25 * 60}, NULL},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_work_fold_t *fold;
        pps_held_pin_t pin = {0};
        int error;

        fake_log_clear(&logged);
        fake_log_init(&logged);
        for (size_t j = 0; cases[i].steps[j]; j++) {
            logged.time_us += cases[i].minutes[j] * 60 * PPS_US_PER_S;
            switch (cases[i].steps[j]) {
            case 'p':
                put_pin("s", "v1", 600);
                break;
            case 'q':
                put_pin("s", "v2", 600);
                break;
            case 't':
                put_touch("s");
                break;
            default:
                put_claim("k", "a", 1, 1);
            }
        }
        fold = fold_all();
        error = pps_work_fold_pin(fold, &pin, "ministry", "s",
                                  pps_work_fold_log_time(fold));
        cr_expect_eq(error == 0, cases[i].version != NULL, "case %zu", i);
        if (error == 0 && cases[i].version != NULL) {
            cr_expect_str_eq(pin.version, cases[i].version, "case %zu", i);
        }
        pps_work_fold_free(fold);
    }
}

static int
store_part(const void *payload, size_t size, void *user)
{
    void *data;
    size_t data_size;
    int error = pps_record_encode(&data, &data_size,
                                  PPS_RECORD_WORK_CHECKPOINT, payload, size);

    store(error, data, data_size);
    ++*(int *)user;
    return 0;
}

static void
put_mixed_records(int count)
{
    char name[16];

    for (int i = 0; i < count; i++) {
        snprintf(name, sizeof(name), "k%d", i % 17);
        if (i % 5 == 4) {
            put_outcome(name, (uint64_t)i - 2, PPS_OUTCOME_COMPLETED, 60000);
        }
        else if (i % 5 == 3) {
            put_pin(name, i % 2 ? "v1" : "v2", 600);
        }
        else {
            put_claim(name, i % 3 ? "a" : "b", (uint64_t)i / 20, (uint64_t)i);
        }
        logged.time_us += HOUR_US / 2;
    }
}

Test(work_fold, a_restored_fold_stays_equal_to_the_original)
{
    pps_work_fold_t *original;
    pps_work_fold_t *restored;
    pps_work_restorer_t *restorer;
    int parts = 0;

    for (int i = 0; i < 30; i++) {
        char key[16];

        snprintf(key, sizeof(key), "large%d", i);
        put_outcome(key, put_claim(key, "a", 1, 100), PPS_OUTCOME_COMPLETED,
                    60000);
    }
    put_mixed_records(40);
    original = fold_all();
    cr_assert_eq(pps_work_fold_write_checkpoint(original, store_part, &parts),
                 0);
    cr_expect_gt(parts, 1);
    cr_assert_eq(pps_work_restorer_new(&restorer), 0);
    for (size_t i = 0; i < logged.count; i++) {
        pps_work_restorer_feed(restorer, &logged.entries[i]);
    }
    cr_assert_eq(pps_work_restorer_take(restorer, &restored), 0);
    cr_expect_eq(pps_work_fold_digest(restored),
                 pps_work_fold_digest(original));
    put_mixed_records(300);
    for (;;) {
        uint64_t next = pps_work_fold_next(original);

        if (next == logged.count) {
            break;
        }
        pps_work_fold_apply(original, &logged.entries[next], NULL);
        pps_work_fold_apply(restored, &logged.entries[next], NULL);
        cr_assert_eq(pps_work_fold_digest(restored),
                     pps_work_fold_digest(original), "after record %zu",
                     (size_t)next);
    }
    cr_expect_eq(pps_work_fold_checkpoint_offset(original, NULL),
                 pps_work_fold_checkpoint_offset(restored, NULL));
    pps_work_fold_free(original);
    pps_work_fold_free(restored);
    pps_work_restorer_free(restorer);
}

Test(work_fold, an_incomplete_checkpoint_is_not_restored)
{
    pps_work_fold_t *fold;
    pps_work_restorer_t *restorer;
    int parts = 0;
    size_t before;

    for (int i = 0; i < 30; i++) {
        char key[16];

        snprintf(key, sizeof(key), "large%d", i);
        put_outcome(key, put_claim(key, "a", 1, 1), PPS_OUTCOME_COMPLETED,
                    60000);
    }
    fold = fold_all();
    before = logged.count;
    cr_assert_eq(pps_work_fold_write_checkpoint(fold, store_part, &parts), 0);
    cr_assert_eq(pps_work_restorer_new(&restorer), 0);
    for (size_t i = 0; i < logged.count; i++) {
        if (i != before + 1) {
            pps_work_restorer_feed(restorer, &logged.entries[i]);
        }
    }
    pps_work_fold_free(fold);
    cr_expect_eq(pps_work_restorer_take(restorer, &fold), PPS_ENOTFOUND);
    pps_work_restorer_free(restorer);
}

Test(work_fold, a_skipped_offset_is_refused)
{
    pps_work_fold_t *fold;

    put_claim("k", "a", 1, 1);
    put_claim("k", "a", 1, 2);
    cr_assert_eq(pps_work_fold_new(&fold, NULL), 0);
    cr_expect_eq(pps_work_fold_apply(fold, &logged.entries[1], NULL),
                 PPS_EINVALID);
    pps_work_fold_free(fold);
}

/* A completed claim without its outcome would lead to an answer from nothing
 * when the key is used again. */
Test(work_fold, a_completed_claim_without_an_outcome_is_corrupt)
{
    pps_work_fold_t *fold;
    pps_work_fold_t *decoded;
    pps_fold_claim_t *claim;
    void *data;
    size_t size;

    put_claim("k", "a", 1, 1);
    fold = fold_all();
    cr_assert_eq(pps_fold_encode(fold, &data, &size), 0);
    cr_assert_eq(pps_fold_decode(&decoded, data, size), 0);
    pps_work_fold_free(decoded);
    free(data);
    cds_list_for_each_entry (claim, &fold->claim_list, node) {
        claim->state = PPS_CLAIM_COMPLETED;
    }
    cr_assert_eq(pps_fold_encode(fold, &data, &size), 0);
    cr_expect_eq(pps_fold_decode(&decoded, data, size), PPS_ECORRUPT);
    free(data);
    pps_work_fold_free(fold);
}
