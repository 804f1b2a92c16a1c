/** @file test_mirror.c @brief Tests copies of keyed topics and catch-up. */
#include "mirror/catch_up.h"
#include "mirror/mirror.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

/* Records each change; values that begin with 'h' are not relevant. */
static int
on_changed(void *user, const char *key, const char *value, size_t size)
{
    pps_buf_printf(user, "%s%s%.*s;", key, value ? "=" : "-", (int)size,
                   value ? value : "");
    return value == NULL || value[0] != 'h';
}

typedef struct {
    pps_buf_t changes;
    pps_mirror_t *mirror;
} fixture_t;

static void
set_up(fixture_t *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    cr_assert_eq(
        pps_mirror_new(&fixture->mirror, on_changed, &fixture->changes), 0);
}

static void
tear_down(fixture_t *fixture)
{
    pps_mirror_free(fixture->mirror);
    pps_buf_clear(&fixture->changes);
}

static void
apply_record(pps_mirror_t *mirror, int64_t offset, const char *key,
             const char *value)
{
    cr_assert_eq(pps_mirror_apply_record(mirror, offset, key, strlen(key),
                                         value, value ? strlen(value) : 0),
                 0);
}

static void
apply_listing(pps_mirror_t *mirror, int64_t end, const char *const *entries,
              size_t count)
{
    pps_mirror_begin_listing(mirror, 0);
    for (size_t i = 0; i < count; i++) {
        pps_mirror_apply_listed(mirror, (int64_t)i, entries[i], 1,
                                entries[i] + 1, strlen(entries[i] + 1));
    }
    pps_mirror_end_listing(mirror, end);
}

Test(mirror, records_in_order)
{
    fixture_t f;

    set_up(&f);
    cr_expect_eq(pps_mirror_end(f.mirror), -1);
    apply_record(f.mirror, 0, "a", "1");
    apply_record(f.mirror, 1, "b", "1");
    apply_record(f.mirror, 1, "a", "old");
    apply_record(f.mirror, 2, "a", NULL);
    apply_record(f.mirror, 3, "b", "h2");
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;b=1;a-;b=h2;");
    cr_expect_eq(pps_mirror_end(f.mirror), 4);
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 3);
    cr_expect_eq(pps_mirror_count(f.mirror), 1);
    tear_down(&f);
}

Test(mirror, listing_deletes_absent_keys)
{
    static const char *const first[] = {"a1", "b1", "c1"};
    static const char *const second[] = {"a1", "c1"};
    fixture_t f;

    set_up(&f);
    apply_listing(f.mirror, 5, first, 3);
    apply_listing(f.mirror, 9, second, 2);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;b=1;c=1;b-;");
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 9);
    tear_down(&f);
}

/* A key written after the listing's end is not deleted. */
Test(mirror, listing_keeps_newer_records)
{
    static const char *const older[] = {"a1"};
    fixture_t f;

    set_up(&f);
    apply_record(f.mirror, 7, "b", "new");
    apply_listing(f.mirror, 5, older, 1);
    cr_expect_str_eq(pps_buf_text(&f.changes), "b=new;a=1;");
    cr_expect_eq(pps_mirror_end(f.mirror), 8);
    tear_down(&f);
}

Test(mirror, import_replaces_older_copy)
{
    fixture_t from;
    fixture_t to;
    pps_buf_t copy = PPS_BUF_INIT;

    set_up(&from);
    set_up(&to);
    apply_record(from.mirror, 3, "a", "1");
    apply_record(from.mirror, 4, "b", "2");
    apply_record(to.mirror, 0, "z", "9");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.changes), "z=9;a=1;b=2;z-;");
    cr_expect_eq(pps_mirror_relevant_end(to.mirror), 5);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.changes), "z=9;a=1;b=2;z-;");
    for (size_t length = 0; length < copy.size; length++) {
        fixture_t other;

        set_up(&other);
        cr_expect_eq(pps_mirror_import(other.mirror, copy.data, length),
                     PPS_ECORRUPT, "cut at %zu", length);
        tear_down(&other);
    }
    pps_buf_clear(&copy);
    tear_down(&from);
    tear_down(&to);
}

static void
list(fixture_t *f, int64_t epoch, int64_t end, const char *const *entries,
     size_t count)
{
    pps_mirror_begin_listing(f->mirror, epoch);
    for (size_t i = 0; i < count; i++) {
        pps_mirror_apply_listed(f->mirror, (int64_t)i, entries[i], 1,
                                entries[i] + 1, strlen(entries[i] + 1));
    }
    cr_expect_eq(pps_mirror_end_listing(f->mirror, end), 0);
}

/* After the store came back from a backup, lower offsets hold newer values. An
 * unchanged value is not reported again. */
Test(mirror, listing_of_a_higher_epoch_replaces_all)
{
    static const char *const backup[] = {"a0", "c1"};
    fixture_t f;

    set_up(&f);
    apply_record(f.mirror, 7, "a", "9");
    apply_record(f.mirror, 8, "b", "9");
    apply_record(f.mirror, 9, "c", "1");
    list(&f, 1, 4, backup, 2);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;c=1;a=0;b-;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 1);
    cr_expect_eq(pps_mirror_end(f.mirror), 4);
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 4);
    apply_record(f.mirror, 4, "a", "10");
    apply_record(f.mirror, 5, "c", NULL);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;c=1;a=0;b-;a=10;c-;");
    tear_down(&f);
}

/* Until a listing of a higher epoch is complete, nothing is deleted and
 * records of the current epoch still count, but not over values already
 * listed. */
Test(mirror, content_holds_until_the_higher_epoch_is_listed)
{
    fixture_t f;

    set_up(&f);
    apply_record(f.mirror, 7, "a", "9");
    apply_record(f.mirror, 8, "b", "9");
    pps_mirror_begin_listing(f.mirror, 1);
    pps_mirror_apply_listed(f.mirror, 0, "a", 1, "0", 1);
    apply_record(f.mirror, 9, "a", "old");
    apply_record(f.mirror, 10, "a", NULL);
    apply_record(f.mirror, 11, "d", "old");
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;a=0;d=old;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 0);
    /* The store comes back from a backup once more. */
    pps_mirror_begin_listing(f.mirror, 2);
    pps_mirror_apply_listed(f.mirror, 0, "b", 1, "5", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror, 3), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;a=0;d=old;b=5;a-;d-;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 2);
    cr_expect_eq(pps_mirror_end(f.mirror), 3);
    tear_down(&f);
}

typedef struct {
    const char *name;
    int64_t from_epoch;
    int64_t from_end;
    int64_t to_epoch;
    int64_t to_end;
    const char *changes; /* of the importing copy, which has the key z */
    int64_t epoch;
    int64_t end;
} epoch_import_t;

static const epoch_import_t epoch_imports[] = {
    {"a higher epoch at lower offsets", 2, 3, 1, 90, "z=1;a=1;z-;", 2, 3},
    {"a lower epoch at higher offsets", 1, 90, 2, 3, "z=1;", 2, 3},
    {"the same epoch, newer", 2, 9, 2, 3, "z=1;a=1;z-;", 2, 9},
    {"the same epoch, older", 2, 3, 2, 9, "z=1;", 2, 9},
};

Test(mirror, import_goes_by_epoch_first)
{
    static const char *const from_entries[] = {"a1"};
    static const char *const to_entries[] = {"z1"};

    for (size_t i = 0; i < sizeof(epoch_imports) / sizeof(*epoch_imports);
         i++) {
        const epoch_import_t *item = &epoch_imports[i];
        pps_buf_t copy = PPS_BUF_INIT;
        fixture_t from;
        fixture_t to;

        set_up(&from);
        set_up(&to);
        list(&from, item->from_epoch, item->from_end, from_entries, 1);
        list(&to, item->to_epoch, item->to_end, to_entries, 1);
        cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
        cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
        cr_expect_str_eq(pps_buf_text(&to.changes), item->changes, "%s: %s",
                         item->name, pps_buf_text(&to.changes));
        cr_expect_eq(pps_mirror_epoch(to.mirror), item->epoch, "%s",
                     item->name);
        cr_expect_eq(pps_mirror_end(to.mirror), item->end, "%s", item->name);
        pps_buf_clear(&copy);
        tear_down(&from);
        tear_down(&to);
    }
}

/* A host of an older build sends copies of three elements. */
Test(mirror, copy_without_an_epoch_is_of_epoch_0)
{
    static const char copy[] = {'\x93', 3, 3,   '\x91', '\x93', 0,
                                '\xc4', 1, 'a', '\xc4', 1,      '1'};
    fixture_t f;

    set_up(&f);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;");
    list(&f, 1, 1, NULL, 0);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;a-;");
    tear_down(&f);
}

/* A copy with a malformed entry behind a valid one. */
Test(mirror, malformed_copy_changes_nothing)
{
    static const char copy[] = {'\x94', 3, 3,      '\x92', '\x93', 0,
                                '\xc4', 1, 'a',    '\xc4', 1,      '1',
                                '\x92', 1, '\xc4', 0,      0};
    fixture_t f;

    set_up(&f);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)),
                 PPS_ECORRUPT);
    cr_expect_str_eq(pps_buf_text(&f.changes), "");
    cr_expect_eq(pps_mirror_end(f.mirror), -1);
    tear_down(&f);
}

/* Pages of a listing are no snapshot: a key deleted between two pages may
 * stand in the second. */
Test(mirror, deletion_during_a_listing_requires_another)
{
    fixture_t f;

    set_up(&f);
    apply_record(f.mirror, 1, "a", "1");
    apply_record(f.mirror, 2, "b", "1");
    pps_mirror_begin_listing(f.mirror, 0);
    pps_mirror_apply_listed(f.mirror, 1, "a", 1, "1", 1);
    apply_record(f.mirror, 3, "b", NULL);
    pps_mirror_apply_listed(f.mirror, 2, "b", 1, "1", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror, 3), 1);
    tear_down(&f);
}

/* A copy that is imported between two pages must not undo the marks of the
 * first: its keys would be deleted at the end. */
Test(mirror, import_during_a_listing_keeps_its_keys)
{
    fixture_t from;
    fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;

    set_up(&from);
    set_up(&f);
    apply_record(from.mirror, 3, "b", "1");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    apply_record(f.mirror, 1, "a", "1");
    pps_mirror_begin_listing(f.mirror, 0);
    pps_mirror_apply_listed(f.mirror, 9, "a", 1, "9", 1);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    pps_mirror_apply_listed(f.mirror, 3, "b", 1, "1", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror, 10), 0);
    cr_expect_eq(pps_mirror_count(f.mirror), 2);
    pps_buf_clear(&copy);
    tear_down(&from);
    tear_down(&f);
}

/* A copy of the lower epoch that is imported between two pages of a listing in
 * a higher one must not keep a key that the higher epoch lacks. */
Test(mirror, import_of_a_lower_epoch_during_a_listing)
{
    fixture_t from;
    fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;

    set_up(&from);
    set_up(&f);
    apply_record(from.mirror, 3, "gone", "1");
    apply_record(from.mirror, 4, "a", "old");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    apply_record(f.mirror, 1, "a", "1");
    pps_mirror_begin_listing(f.mirror, 1);
    pps_mirror_apply_listed(f.mirror, 0, "a", 1, "9", 1);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    cr_expect_eq(pps_mirror_end_listing(f.mirror, 2), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;a=9;gone=1;gone-;");
    cr_expect_eq(pps_mirror_end(f.mirror), 2);
    pps_buf_clear(&copy);
    tear_down(&from);
    tear_down(&f);
}

Test(mirror, key_with_a_nul_byte_is_refused)
{
    fixture_t f;

    set_up(&f);
    cr_expect_eq(pps_mirror_apply_record(f.mirror, 0, "a\0b", 3, "1", 1),
                 PPS_EINVALID);
    cr_expect_eq(pps_mirror_count(f.mirror), 0);
    tear_down(&f);
}

typedef struct {
    const char *name;
    pps_lag_t lag;
    unsigned int sources;
} catch_up_case_t;

#define US_PER_MS 1000

/* is_behind, is_urgent, has_gap, behind_us, is_loaded, store_failing */
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

static int
is_relevant(void *user, const char *key, const char *value, size_t size)
{
    return key[0] == 'm';
}

/* A host need not read irrelevant records that a peer has read already. */
Test(mirror, end_follows_a_peer_with_equal_content)
{
    for (size_t i = 0; i < sizeof(sync_ends) / sizeof(*sync_ends); i++) {
        pps_mirror_t *mirror;

        cr_assert_eq(pps_mirror_new(&mirror, is_relevant, NULL), 0);
        pps_mirror_sync_end(mirror, sync_ends[i].relevant_end,
                            sync_ends[i].end);
        cr_expect_eq(pps_mirror_end(mirror), -1);
        pps_mirror_begin_listing(mirror, 0);
        pps_mirror_end_listing(mirror, 4);
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

static int
always_relevant(void *user, const char *key, const char *value, size_t size)
{
    return 1;
}

/* Two hosts list the topic, one before a key was deleted and one after. Both
 * listings have the same newest value but the copies differ, so the first host
 * must not skip the deletion. */
Test(mirror, listings_before_and_after_a_deletion_differ)
{
    pps_mirror_t *before;
    pps_mirror_t *after;
    size_t size;

    cr_assert_eq(pps_mirror_new(&before, always_relevant, NULL), 0);
    cr_assert_eq(pps_mirror_new(&after, always_relevant, NULL), 0);
    pps_mirror_begin_listing(before, 0);
    pps_mirror_apply_listed(before, 3, "gone", 4, "v", 1);
    pps_mirror_apply_listed(before, 4, "kept", 4, "v", 1);
    pps_mirror_end_listing(before, 5);
    pps_mirror_begin_listing(after, 0);
    pps_mirror_apply_listed(after, 4, "kept", 4, "v", 1);
    pps_mirror_end_listing(after, 6);
    pps_mirror_sync_end(before, pps_mirror_relevant_end(after),
                        pps_mirror_end(after));
    pps_mirror_apply_record(before, 5, "gone", 4, NULL, 0);
    cr_expect_null(pps_mirror_get(&size, before, "gone"));
    cr_expect_eq(pps_mirror_relevant_end(before),
                 pps_mirror_relevant_end(after));
    pps_mirror_free(before);
    pps_mirror_free(after);
}
