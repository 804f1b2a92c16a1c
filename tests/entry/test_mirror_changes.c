/** @file test_mirror_changes.c @brief Tests copies that hold only the changes
 * since another host's copy. */
#include "mirror_fixture.h"
#include "papayaswitch/errors.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static void
list(pps_mirror_t *mirror, int64_t epoch, int64_t end, const char *keys)
{
    pps_mirror_begin_listing(mirror, epoch, end);
    for (size_t i = 0; keys[i] != '\0'; i++) {
        pps_mirror_apply_listed(mirror, (int64_t)i, &keys[i], 1, "1", 1);
    }
    pps_mirror_end_listing(mirror);
}

static int
send_changes(pps_mirror_t *from, pps_mirror_t *to, int64_t since)
{
    pps_buf_t changes = PPS_BUF_INIT;
    int error =
        pps_mirror_encode_changes(from, pps_mirror_epoch(to), since, &changes);

    if (error == 0) {
        cr_expect_not(pps_mirror_is_full_copy(changes.data, changes.size));
        error = pps_mirror_import(to, changes.data, changes.size);
    }
    pps_buf_clear(&changes);
    return error;
}

Test(mirror_changes, only_changed_keys_are_sent)
{
    mirror_fixture_t from;
    mirror_fixture_t to;

    mirror_fixture_start(&from);
    mirror_fixture_start(&to);
    list(from.mirror, 3, 9, "abc");
    list(to.mirror, 3, 9, "abc");
    pps_buf_clear(&to.changes);
    mirror_fixture_apply(from.mirror, 9, "b", "2");
    mirror_fixture_apply(from.mirror, 10, "a", NULL);
    mirror_fixture_apply(from.mirror, 11, "d", "1");
    mirror_fixture_apply(from.mirror, 12, "d", NULL);
    mirror_fixture_apply(from.mirror, 13, "d", "2");
    cr_expect_eq(send_changes(from.mirror, to.mirror, 9), 0);
    cr_expect_str_eq(pps_buf_text(&to.changes), "b=2;d=2;a-;");
    cr_expect_eq(pps_mirror_end(to.mirror), 14);
    cr_expect_eq(pps_mirror_relevant_end(to.mirror), 14);
    cr_expect_eq(pps_mirror_count(to.mirror), 3);
    cr_expect_eq(send_changes(from.mirror, to.mirror, 14), 0, "none");
    mirror_fixture_end(&from);
    mirror_fixture_end(&to);
}

typedef struct {
    const char *name;
    int64_t epoch; /**< that the asker names */
    int64_t from;
    int expected;
} refusal_t;

/* The sender listed up to 20 in epoch 3 and has read one record. */
static const refusal_t refusals[] = {
    {"deletions before the listing are not known", 3, 19, PPS_ENOTFOUND},
    {"all changes are known", 3, 20, 0},
    {"the asker is as far", 3, 21, 0},
    {"the asker is ahead", 3, 22, PPS_ENOTFOUND},
    {"an older epoch", 2, 20, PPS_ENOTFOUND},
    {"a higher epoch", 4, 20, PPS_ENOTFOUND},
    {"an empty copy", 3, -1, PPS_ENOTFOUND},
};

/* Guards against a key that was deleted and stays at the asker, as the sender
 * did not see its deletion. */
Test(mirror_changes, full_copy_if_not_all_changes_are_known)
{
    mirror_fixture_t from;

    mirror_fixture_start(&from);
    list(from.mirror, 3, 9, "abc");
    list(from.mirror, 3, 20, "ab");
    mirror_fixture_apply(from.mirror, 20, "b", "2");
    for (size_t i = 0; i < sizeof(refusals) / sizeof(*refusals); i++) {
        pps_buf_t changes = PPS_BUF_INIT;

        cr_expect_eq(pps_mirror_encode_changes(from.mirror, refusals[i].epoch,
                                               refusals[i].from, &changes),
                     refusals[i].expected, "%s", refusals[i].name);
        pps_buf_clear(&changes);
    }
    mirror_fixture_end(&from);
}

/* A listing of a higher epoch in progress has mixed offsets of two epochs. */
Test(mirror_changes, none_during_a_listing_of_a_higher_epoch)
{
    mirror_fixture_t from;
    pps_buf_t changes = PPS_BUF_INIT;

    mirror_fixture_start(&from);
    list(from.mirror, 3, 9, "ab");
    pps_mirror_begin_listing(from.mirror, 4, 5);
    pps_mirror_apply_listed(from.mirror, 1, "a", 1, "5", 1);
    cr_expect_eq(pps_mirror_encode_changes(from.mirror, 3, 9, &changes),
                 PPS_ENOTFOUND);
    pps_buf_clear(&changes);
    mirror_fixture_end(&from);
}

/* Guards against a key that stays at the asker: the sender lists the topic,
 * and in the meantime a record behind the listing's end deletes the key. */
Test(mirror_changes, deletion_behind_the_end_of_a_listing)
{
    mirror_fixture_t from;
    mirror_fixture_t to;
    size_t size;

    mirror_fixture_start(&from);
    mirror_fixture_start(&to);
    list(from.mirror, 3, 9, "ab");
    list(to.mirror, 3, 9, "ab");
    pps_mirror_begin_listing(from.mirror, 3, 10);
    pps_mirror_apply_listed(from.mirror, 0, "a", 1, "1", 1);
    mirror_fixture_apply(from.mirror, 12, "a", NULL);
    pps_mirror_end_listing(from.mirror);
    mirror_fixture_apply(from.mirror, 13, "c", "1");
    pps_mirror_sync_end(to.mirror, 9, 11);
    if (send_changes(from.mirror, to.mirror, 11) == 0) {
        cr_expect_null(pps_mirror_get(&size, to.mirror, "a"));
    }
    mirror_fixture_end(&from);
    mirror_fixture_end(&to);
}

/* Changes that do not follow the copy, or are truncated, change nothing. */
Test(mirror_changes, bad_changes_are_rejected)
{
    mirror_fixture_t from;
    mirror_fixture_t to;
    pps_buf_t changes = PPS_BUF_INIT;

    mirror_fixture_start(&from);
    mirror_fixture_start(&to);
    list(from.mirror, 3, 9, "ab");
    list(to.mirror, 3, 8, "ab");
    pps_buf_clear(&to.changes);
    mirror_fixture_apply(from.mirror, 9, "a", NULL);
    cr_assert_eq(pps_mirror_encode_changes(from.mirror, 3, 9, &changes), 0);
    cr_expect_eq(pps_mirror_import(to.mirror, changes.data, changes.size),
                 PPS_ECONFLICT, "a gap");
    for (size_t size = 0; size < changes.size; size++) {
        cr_expect_eq(pps_mirror_import(to.mirror, changes.data, size),
                     PPS_ECORRUPT, "cut to %zu bytes", size);
    }
    list(to.mirror, 4, 20, "ab");
    cr_expect_eq(pps_mirror_import(to.mirror, changes.data, changes.size),
                 PPS_ECONFLICT, "an older epoch");
    cr_expect_str_eq(pps_buf_text(&to.changes), "");
    cr_expect_eq(pps_mirror_count(to.mirror), 2);
    pps_buf_clear(&changes);
    mirror_fixture_end(&from);
    mirror_fixture_end(&to);
}

static void
apply_random_record(pps_mirror_t *mirror, pps_rng_t *rng, int64_t offset)
{
    char key[8];
    char value[24];

    snprintf(key, sizeof(key), "k%u", (unsigned int)pps_rng_below(rng, 40));
    snprintf(value, sizeof(value), "%lld", (long long)offset);
    mirror_fixture_apply(mirror, offset, key,
                         pps_rng_below(rng, 3) == 0 ? NULL : value);
}

static int
has_same_content(pps_mirror_t *a, pps_mirror_t *b)
{
    int is_same = pps_mirror_count(a) == pps_mirror_count(b);

    for (int i = 0; i < 40; i++) {
        char key[8];
        size_t size_a = 0;
        size_t size_b = 0;
        const char *value_a;
        const char *value_b;

        snprintf(key, sizeof(key), "k%d", i);
        value_a = pps_mirror_get(&size_a, a, key);
        value_b = pps_mirror_get(&size_b, b, key);
        is_same &= size_a == size_b && (value_a == NULL) == (value_b == NULL);
        is_same &= value_a == NULL || value_b == NULL ||
                   memcmp(value_a, value_b, size_a) == 0;
    }
    return is_same;
}

/* Random records: after changes, or the full copy where the changes are not
 * known (more than 256 deletions), the content is the sender's. */
Test(mirror_changes, content_is_the_same_as_after_all_records)
{
    static const unsigned int steps[] = {1, 7, 60, 1500};
    unsigned int full = 0;

    for (uint64_t seed = 1; seed <= 40; seed++) {
        mirror_fixture_t from;
        mirror_fixture_t to;
        pps_rng_t rng;
        int64_t offset = 0;

        pps_rng_init(&rng, seed);
        mirror_fixture_start(&from);
        mirror_fixture_start(&to);
        list(from.mirror, 1, 0, "");
        list(to.mirror, 1, 0, "");
        for (int round = 0; round < 6; round++) {
            pps_buf_t copy = PPS_BUF_INIT;

            for (unsigned int i = steps[pps_rng_below(&rng, 4)]; i > 0; i--) {
                apply_random_record(from.mirror, &rng, offset++);
            }
            if (send_changes(from.mirror, to.mirror,
                             pps_mirror_end(to.mirror)) != 0) {
                full++;
                cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
                cr_expect(pps_mirror_is_full_copy(copy.data, copy.size));
                cr_expect_eq(
                    pps_mirror_import(to.mirror, copy.data, copy.size), 0);
            }
            cr_assert(has_same_content(from.mirror, to.mirror),
                      "seed %u, round %d", (unsigned int)seed, round);
            pps_buf_clear(&copy);
        }
        mirror_fixture_end(&from);
        mirror_fixture_end(&to);
    }
    cr_expect_gt(full, 0);
    cr_expect_lt(full, 120);
}
