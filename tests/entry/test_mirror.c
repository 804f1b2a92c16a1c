/** @file test_mirror.c @brief Copies of keyed topics. */
#include "mirror/catch_up.h"
#include "mirror/mirror.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

/* Writes what it is told; values that begin with 'h' need not be passed on. */
static int
on_changed(void *user, const char *key, const char *value, size_t size)
{
    pps_buf_printf(user, "%s%s%.*s;", key, value ? "=" : "-", (int)size,
                   value ? value : "");
    return value == NULL || value[0] != 'h';
}

typedef struct {
    pps_buf_t told;
    pps_mirror_t *mirror;
} fixture_t;

static void
set_up(fixture_t *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    cr_assert_eq(pps_mirror_new(&fixture->mirror, on_changed, &fixture->told),
                 0);
}

static void
tear_down(fixture_t *fixture)
{
    pps_mirror_free(fixture->mirror);
    pps_buf_clear(&fixture->told);
}

static void
record(pps_mirror_t *mirror, int64_t offset, const char *key,
       const char *value)
{
    cr_assert_eq(pps_mirror_apply_record(mirror, offset, key, strlen(key),
                                         value, value ? strlen(value) : 0),
                 0);
}

static void
list(pps_mirror_t *mirror, int64_t end, const char *const *entries,
     size_t count)
{
    pps_mirror_begin_listing(mirror);
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
    record(f.mirror, 0, "a", "1");
    record(f.mirror, 1, "b", "1");
    record(f.mirror, 1, "a", "old");
    record(f.mirror, 2, "a", NULL);
    record(f.mirror, 3, "b", "h2");
    cr_expect_str_eq(pps_buf_text(&f.told), "a=1;b=1;a-;b=h2;");
    cr_expect_eq(pps_mirror_end(f.mirror), 4);
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 3);
    cr_expect_eq(pps_mirror_count(f.mirror), 1);
    tear_down(&f);
}

Test(mirror, a_listing_drops_what_it_does_not_name)
{
    static const char *const first[] = {"a1", "b1", "c1"};
    static const char *const second[] = {"a1", "c1"};
    fixture_t f;

    set_up(&f);
    list(f.mirror, 5, first, 3);
    list(f.mirror, 9, second, 2);
    cr_expect_str_eq(pps_buf_text(&f.told), "a=1;b=1;c=1;b-;");
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 9);
    tear_down(&f);
}

/* A record that came behind the listing's end stays. */
Test(mirror, a_listing_keeps_newer_records)
{
    static const char *const older[] = {"a1"};
    fixture_t f;

    set_up(&f);
    record(f.mirror, 7, "b", "new");
    list(f.mirror, 5, older, 1);
    cr_expect_str_eq(pps_buf_text(&f.told), "b=new;a=1;");
    cr_expect_eq(pps_mirror_end(f.mirror), 8);
    tear_down(&f);
}

Test(mirror, copies_between_hosts)
{
    fixture_t from;
    fixture_t to;
    pps_buf_t copy = PPS_BUF_INIT;

    set_up(&from);
    set_up(&to);
    record(from.mirror, 3, "a", "1");
    record(from.mirror, 4, "b", "2");
    record(to.mirror, 0, "z", "9");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.told), "z=9;a=1;b=2;z-;");
    cr_expect_eq(pps_mirror_relevant_end(to.mirror), 5);
    cr_expect_eq(pps_mirror_import(to.mirror, copy.data, copy.size), 0);
    cr_expect_str_eq(pps_buf_text(&to.told), "z=9;a=1;b=2;z-;");
    for (size_t cut = 0; cut < copy.size; cut++) {
        fixture_t other;

        set_up(&other);
        cr_expect_eq(pps_mirror_import(other.mirror, copy.data, cut),
                     PPS_ECORRUPT, "cut at %zu", cut);
        tear_down(&other);
    }
    pps_buf_clear(&copy);
    tear_down(&from);
    tear_down(&to);
}

typedef struct {
    const char *what;
    pps_lag_t lag;
    unsigned int ways;
} catch_up_case_t;

#define MS 1000

/* behind, urgent, gap, for how long, known, store failing */
static const catch_up_case_t catch_ups[] = {
    {"as new as the others", {0, 1, 0, 0, 1, 0}, 0},
    {"a record may be on its way", {1, 0, 0, 100 * MS, 1, 0}, 0},
    {"it did not come: the store has it",
     {1, 0, 0, 400 * MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE},
    {"one is known to be lost", {1, 0, 1, 0, 1, 0}, PPS_CATCH_UP_FROM_STORE},
    {"the store is slow",
     {1, 0, 1, 1000 * MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
    {"the store is away", {1, 0, 0, 0, 1, 1}, PPS_CATCH_UP_FROM_PEER},
    {"nothing is known yet", {1, 0, 0, 0, 0, 0}, PPS_CATCH_UP_FROM_PEER},
    {"a new configuration", {1, 1, 0, 0, 1, 0}, PPS_CATCH_UP_FROM_STORE},
    {"a new configuration, late",
     {1, 1, 0, 400 * MS, 1, 0},
     PPS_CATCH_UP_FROM_STORE | PPS_CATCH_UP_FROM_PEER},
};

Test(catch_up, table)
{
    for (size_t i = 0; i < sizeof(catch_ups) / sizeof(*catch_ups); i++) {
        cr_expect_eq(pps_catch_up_choose(&catch_ups[i].lag), catch_ups[i].ways,
                     "%s", catch_ups[i].what);
    }
}

typedef struct {
    const char *what;
    int64_t mark;
    int64_t end;
    int64_t expected;
} heard_end_case_t;

/* The copy's mark is 5 and its end 9. */
static const heard_end_case_t heard_ends[] = {
    {"alike, and further", 5, 40, 40},
    {"alike, not as far", 5, 7, 9},
    {"the other one has more", 30, 40, 9},
    {"the other one has less", 4, 40, 9},
    {"the other one knows nothing", -1, -1, 9},
};

static int
matters(void *user, const char *key, const char *value, size_t size)
{
    return key[0] == 'm';
}

/* Records that matter to nobody need not be read to know that. */
Test(mirror, a_like_copy_tells_how_far_it_has_read)
{
    for (size_t i = 0; i < sizeof(heard_ends) / sizeof(*heard_ends); i++) {
        pps_mirror_t *mirror;

        cr_assert_eq(pps_mirror_new(&mirror, matters, NULL), 0);
        pps_mirror_sync_end(mirror, heard_ends[i].mark, heard_ends[i].end);
        cr_expect_eq(pps_mirror_end(mirror), -1);
        pps_mirror_begin_listing(mirror);
        pps_mirror_end_listing(mirror, 4);
        pps_mirror_apply_record(mirror, 4, "m", 1, "v", 1);
        pps_mirror_apply_record(mirror, 8, "x", 1, "v", 1);
        cr_assert_eq(pps_mirror_relevant_end(mirror), 5);
        pps_mirror_sync_end(mirror, heard_ends[i].mark, heard_ends[i].end);
        cr_expect_eq(pps_mirror_end(mirror), heard_ends[i].expected, "%s",
                     heard_ends[i].what);
        pps_mirror_free(mirror);
    }
}

static int
matters_always(void *user, const char *key, const char *value, size_t size)
{
    return 1;
}

/* Two hosts list the topic, one before a key was dropped and one after: the
 * listings' newest values are alike, the copies are not, and the first one
 * must not be told that it has read the removal. */
Test(mirror, listings_beside_a_removal_are_not_alike)
{
    pps_mirror_t *before;
    pps_mirror_t *after;
    size_t size;

    cr_assert_eq(pps_mirror_new(&before, matters_always, NULL), 0);
    cr_assert_eq(pps_mirror_new(&after, matters_always, NULL), 0);
    pps_mirror_begin_listing(before);
    pps_mirror_apply_listed(before, 3, "gone", 4, "v", 1);
    pps_mirror_apply_listed(before, 4, "kept", 4, "v", 1);
    pps_mirror_end_listing(before, 5);
    pps_mirror_begin_listing(after);
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
