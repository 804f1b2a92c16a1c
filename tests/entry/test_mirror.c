/** @file test_mirror.c @brief Tests copies of keyed topics and catch-up. */
#include "mirror/catch_up.h"
#include "mirror_fixture.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

static void
apply_listing(pps_mirror_t *mirror, int64_t end, const char *const *entries,
              size_t count)
{
    pps_mirror_begin_listing(mirror, 0, end);
    for (size_t i = 0; i < count; i++) {
        pps_mirror_apply_listed(mirror, (int64_t)i, entries[i], 1,
                                entries[i] + 1, strlen(entries[i] + 1));
    }
    pps_mirror_end_listing(mirror);
}

Test(mirror, records_in_order)
{
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    cr_expect_eq(pps_mirror_end(f.mirror), -1);
    mirror_fixture_apply(f.mirror, 0, "a", "1");
    mirror_fixture_apply(f.mirror, 1, "b", "1");
    mirror_fixture_apply(f.mirror, 1, "a", "old");
    mirror_fixture_apply(f.mirror, 2, "a", NULL);
    mirror_fixture_apply(f.mirror, 3, "b", "h2");
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;b=1;a-;b=h2;");
    cr_expect_eq(pps_mirror_end(f.mirror), 4);
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 3);
    cr_expect_eq(pps_mirror_count(f.mirror), 1);
    mirror_fixture_end(&f);
}

Test(mirror, listing_deletes_absent_keys)
{
    static const char *const first[] = {"a1", "b1", "c1"};
    static const char *const second[] = {"a1", "c1"};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    apply_listing(f.mirror, 5, first, 3);
    apply_listing(f.mirror, 9, second, 2);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;b=1;c=1;b-;");
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 9);
    mirror_fixture_end(&f);
}

/* A key written after the listing's end is not deleted. */
Test(mirror, listing_keeps_newer_records)
{
    static const char *const older[] = {"a1"};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    apply_listing(f.mirror, 5, older, 1);
    mirror_fixture_apply(f.mirror, 7, "b", "new");
    apply_listing(f.mirror, 6, older, 1);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;b=new;");
    cr_expect_eq(pps_mirror_end(f.mirror), 8);
    mirror_fixture_end(&f);
}

Test(mirror, import_replaces_older_copy)
{
    mirror_fixture_t from;
    mirror_fixture_t to;
    pps_buf_t copy = PPS_BUF_INIT;

    mirror_fixture_start(&from);
    mirror_fixture_start(&to);
    mirror_fixture_apply(from.mirror, 3, "a", "1");
    mirror_fixture_apply(from.mirror, 4, "b", "2");
    mirror_fixture_apply(to.mirror, 0, "z", "9");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.changes), "z=9;a=1;b=2;z-;");
    cr_expect_eq(pps_mirror_relevant_end(to.mirror), 5);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.changes), "z=9;a=1;b=2;z-;");
    for (size_t length = 0; length < copy.size; length++) {
        mirror_fixture_t other;

        mirror_fixture_start(&other);
        cr_expect_eq(pps_mirror_import(other.mirror, copy.data, length),
                     PPS_ECORRUPT, "cut at %zu", length);
        mirror_fixture_end(&other);
    }
    pps_buf_clear(&copy);
    mirror_fixture_end(&from);
    mirror_fixture_end(&to);
}

typedef struct {
    const char *name;
    pps_lag_t lag;
    unsigned int sources;
} catch_up_case_t;

#define US_PER_MS 1000

/* is_behind, is_urgent, has_gap, behind_us, is_loaded, store_failing,
 * is_older_epoch, has_many_peers, is_reader, has_source */
static const catch_up_case_t catch_ups[] = {
    {"up to date", {0, 1, 0, 0, 1, 0}, 0},
    {"a relayed record may still arrive", {1, 0, 0, 100 * US_PER_MS, 1, 0}, 0},
    {"no relayed record arrived in time",
     {1, 0, 0, 400 * US_PER_MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE},
    {"a record is known to be lost",
     {1, 0, 1, 0, 1, 0},
     PPS_CATCH_UP_FROM_STORE},
    {"a new epoch: another host has listed it",
     {1, 1, 0, 500 * US_PER_MS, 1, 0, 1},
     PPS_CATCH_UP_FROM_PEER},
    {"a new epoch: no host sent a copy in time",
     {1, 0, 0, 1000 * US_PER_MS, 1, 0, 1},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
    {"the store is slow",
     {1, 0, 1, 1000 * US_PER_MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
    {"the store does not answer", {1, 0, 0, 0, 1, 1}, PPS_CATCH_UP_FROM_PEER},
    {"the copy is still empty", {1, 0, 0, 0, 0, 0}, PPS_CATCH_UP_FROM_PEER},
    {"a new configuration is urgent",
     {1, 1, 0, 0, 1, 0},
     PPS_CATCH_UP_FROM_STORE},
    {"a new configuration did not arrive in time",
     {1, 1, 0, 400 * US_PER_MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
    {"a new configuration at one of many hosts",
     {1, 1, 0, 0, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_PEER},
    {"many hosts: the store is spared for a second",
     {1, 1, 0, 999 * US_PER_MS, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_PEER},
    {"many hosts: no host that is ahead has answered",
     {1, 1, 0, 1000 * US_PER_MS, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
    {"many hosts: a reader is behind another reader",
     {1, 1, 0, 0, 1, 0, 0, 1, 1, 1},
     PPS_CATCH_UP_FROM_STORE},
    {"many hosts: nobody is ahead", {0, 1, 0, 0, 1, 0, 0, 1, 0, 0}, 0},
    {"many hosts: a relayed record may still arrive",
     {1, 0, 0, 100 * US_PER_MS, 1, 0, 0, 1, 0, 1},
     0},
    {"many hosts: no relayed record arrived in time",
     {1, 0, 0, 400 * US_PER_MS, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_PEER},
    {"many hosts: a record is known to be lost",
     {1, 0, 1, 0, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_PEER},
    {"many hosts: a record is lost, and nobody is known to have it",
     {1, 0, 1, 0, 1, 0, 0, 1, 0, 0},
     PPS_CATCH_UP_FROM_STORE},
    {"many hosts: nobody sent the changes in time",
     {1, 0, 1, 1000 * US_PER_MS, 1, 0, 0, 1, 0, 1},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
};

Test(catch_up, table)
{
    for (size_t i = 0; i < sizeof(catch_ups) / sizeof(*catch_ups); i++) {
        cr_expect_eq(pps_catch_up_choose(&catch_ups[i].lag),
                     catch_ups[i].sources, "%s", catch_ups[i].name);
    }
}

typedef struct {
    const char *name;
    int64_t relevant_end;
    int64_t end;
    int64_t expected;
} sync_end_case_t;

/* The local copy's relevant end is 5 and its end 9. */
static const sync_end_case_t sync_ends[] = {
    {"equal content, higher end", 5, 40, 40},
    {"equal content, lower end", 5, 7, 9},
    {"peer has newer content", 30, 40, 9},
    {"peer has older content", 4, 40, 9},
    {"peer's copy is empty", -1, -1, 9},
};

/* Values of the key "m" are relevant, those of others mean the same. */
static void
weigh_key(pps_mirror_relevance_t *out, void *user, const char *key,
          const char *value, size_t size)
{
    out->meaning = key[0] != 'm';
}

static const pps_mirror_ops_t ops_of_m = {.on_changed = weigh_key};

/* A host need not read irrelevant records that a peer has read already. */
Test(mirror, end_follows_a_peer_with_equal_content)
{
    for (size_t i = 0; i < sizeof(sync_ends) / sizeof(*sync_ends); i++) {
        pps_mirror_t *mirror;

        cr_assert_eq(pps_mirror_new(&mirror, &ops_of_m, NULL), 0);
        pps_mirror_sync_end(mirror, sync_ends[i].relevant_end,
                            sync_ends[i].end);
        cr_expect_eq(pps_mirror_end(mirror), -1);
        pps_mirror_begin_listing(mirror, 0, 4);
        pps_mirror_apply_listed(mirror, 0, "x", 1, "v", 1);
        pps_mirror_end_listing(mirror);
        pps_mirror_apply_record(mirror, 4, "m", 1, "v", 1);
        pps_mirror_apply_record(mirror, 8, "x", 1, "v", 1);
        cr_assert_eq(pps_mirror_relevant_end(mirror), 5);
        pps_mirror_sync_end(mirror, sync_ends[i].relevant_end,
                            sync_ends[i].end);
        cr_expect_eq(pps_mirror_end(mirror), sync_ends[i].expected, "%s",
                     sync_ends[i].name);
        pps_mirror_free(mirror);
    }
}

static void
ignore_change(pps_mirror_relevance_t *out, void *user, const char *key,
              const char *value, size_t size)
{
}

static const pps_mirror_ops_t ops = {.on_changed = ignore_change};

/* Two hosts list the topic, one before a key was deleted and one after. Both
 * listings have the same newest value but the copies differ, so the first host
 * must not skip the deletion. */
Test(mirror, listings_before_and_after_a_deletion_differ)
{
    pps_mirror_t *before;
    pps_mirror_t *after;
    size_t size;

    cr_assert_eq(pps_mirror_new(&before, &ops, NULL), 0);
    cr_assert_eq(pps_mirror_new(&after, &ops, NULL), 0);
    pps_mirror_begin_listing(before, 0, 5);
    pps_mirror_apply_listed(before, 3, "gone", 4, "v", 1);
    pps_mirror_apply_listed(before, 4, "kept", 4, "v", 1);
    pps_mirror_end_listing(before);
    pps_mirror_begin_listing(after, 0, 6);
    pps_mirror_apply_listed(after, 4, "kept", 4, "v", 1);
    pps_mirror_end_listing(after);
    pps_mirror_sync_end(before, pps_mirror_relevant_end(after),
                        pps_mirror_end(after));
    pps_mirror_apply_record(before, 5, "gone", 4, NULL, 0);
    cr_expect_null(pps_mirror_get(&size, before, "gone"));
    cr_expect_eq(pps_mirror_relevant_end(before),
                 pps_mirror_relevant_end(after));
    pps_mirror_free(before);
    pps_mirror_free(after);
}
