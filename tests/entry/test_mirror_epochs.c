/** @file test_mirror_epochs.c @brief Tests copies of topics across epochs of
 * the store, and listings that overlap with other changes. */
#include "mirror_fixture.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

static void
list(mirror_fixture_t *f, int64_t epoch, int64_t end,
     const char *const *entries, size_t count)
{
    pps_mirror_begin_listing(f->mirror, epoch, end);
    for (size_t i = 0; i < count; i++) {
        pps_mirror_apply_listed(f->mirror, (int64_t)i, entries[i], 1,
                                entries[i] + 1, strlen(entries[i] + 1));
    }
    cr_expect_eq(pps_mirror_end_listing(f->mirror), 0);
}

/* After the store came back from a backup, lower offsets hold newer values. An
 * unchanged value is not reported again. */
Test(mirror, listing_of_a_higher_epoch_replaces_all)
{
    static const char *const backup[] = {"a0", "c1"};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    mirror_fixture_apply(f.mirror, 7, "a", "9");
    mirror_fixture_apply(f.mirror, 8, "b", "9");
    mirror_fixture_apply(f.mirror, 9, "c", "1");
    list(&f, 1, 4, backup, 2);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;c=1;a=0;b-;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 1);
    cr_expect_eq(pps_mirror_end(f.mirror), 4);
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 4);
    mirror_fixture_apply(f.mirror, 4, "a", "10");
    mirror_fixture_apply(f.mirror, 5, "c", NULL);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;c=1;a=0;b-;a=10;c-;");
    mirror_fixture_end(&f);
}

/* Until a listing of a higher epoch is complete, nothing is deleted and
 * records of the current epoch still count, but not over values already
 * listed. */
Test(mirror, content_holds_until_the_higher_epoch_is_listed)
{
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    mirror_fixture_apply(f.mirror, 7, "a", "9");
    mirror_fixture_apply(f.mirror, 8, "b", "9");
    pps_mirror_begin_listing(f.mirror, 1, 5);
    pps_mirror_apply_listed(f.mirror, 0, "a", 1, "0", 1);
    mirror_fixture_apply(f.mirror, 9, "a", "old");
    mirror_fixture_apply(f.mirror, 10, "a", NULL);
    mirror_fixture_apply(f.mirror, 11, "d", "old");
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;a=0;d=old;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 0);
    /* The store comes back from a backup once more. */
    pps_mirror_begin_listing(f.mirror, 2, 3);
    pps_mirror_apply_listed(f.mirror, 0, "b", 1, "5", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=9;b=9;a=0;d=old;b=5;a-;d-;");
    cr_expect_eq(pps_mirror_epoch(f.mirror), 2);
    cr_expect_eq(pps_mirror_end(f.mirror), 3);
    mirror_fixture_end(&f);
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
    {"the same epoch, newer", 2, 9, 2, 3, "z=1;a=1;a missed;z-;", 2, 9},
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
        mirror_fixture_t from;
        mirror_fixture_t to;

        mirror_fixture_start(&from);
        mirror_fixture_start(&to);
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
        mirror_fixture_end(&from);
        mirror_fixture_end(&to);
    }
}

/* A host of an older build sends copies of three elements. */
Test(mirror, copy_without_an_epoch_is_of_epoch_0)
{
    static const char copy[] = {'\x93', 3, 3,   '\x91', '\x93', 0,
                                '\xc4', 1, 'a', '\xc4', 1,      '1'};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;");
    list(&f, 1, 1, NULL, 0);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;a-;");
    mirror_fixture_end(&f);
}

/* A copy with a malformed entry behind a valid one. */
Test(mirror, malformed_copy_changes_nothing)
{
    static const char copy[] = {'\x94', 3, 3,      '\x92', '\x93', 0,
                                '\xc4', 1, 'a',    '\xc4', 1,      '1',
                                '\x92', 1, '\xc4', 0,      0};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    cr_expect_eq(pps_mirror_import(f.mirror, copy, sizeof(copy)),
                 PPS_ECORRUPT);
    cr_expect_str_eq(pps_buf_text(&f.changes), "");
    cr_expect_eq(pps_mirror_end(f.mirror), -1);
    mirror_fixture_end(&f);
}

/* Pages of a listing are no snapshot: a key deleted between two pages may
 * stand in the second. */
Test(mirror, deletion_during_a_listing_requires_another)
{
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    mirror_fixture_apply(f.mirror, 1, "a", "1");
    mirror_fixture_apply(f.mirror, 2, "b", "1");
    pps_mirror_begin_listing(f.mirror, 0, 3);
    pps_mirror_apply_listed(f.mirror, 1, "a", 1, "1", 1);
    mirror_fixture_apply(f.mirror, 3, "b", NULL);
    pps_mirror_apply_listed(f.mirror, 2, "b", 1, "1", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror), 1);
    mirror_fixture_end(&f);
}

/* A copy that is imported between two pages must not undo the marks of the
 * first: its keys would be deleted at the end. */
Test(mirror, import_during_a_listing_keeps_its_keys)
{
    mirror_fixture_t from;
    mirror_fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;

    mirror_fixture_start(&from);
    mirror_fixture_start(&f);
    mirror_fixture_apply(from.mirror, 3, "b", "1");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    mirror_fixture_apply(f.mirror, 1, "a", "1");
    pps_mirror_begin_listing(f.mirror, 0, 10);
    pps_mirror_apply_listed(f.mirror, 9, "a", 1, "9", 1);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    pps_mirror_apply_listed(f.mirror, 3, "b", 1, "1", 1);
    cr_expect_eq(pps_mirror_end_listing(f.mirror), 0);
    cr_expect_eq(pps_mirror_count(f.mirror), 2);
    pps_buf_clear(&copy);
    mirror_fixture_end(&from);
    mirror_fixture_end(&f);
}

/* A copy of the lower epoch that is imported between two pages of a listing in
 * a higher one must not keep a key that the higher epoch lacks. */
Test(mirror, import_of_a_lower_epoch_during_a_listing)
{
    mirror_fixture_t from;
    mirror_fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;

    mirror_fixture_start(&from);
    mirror_fixture_start(&f);
    mirror_fixture_apply(from.mirror, 3, "gone", "1");
    mirror_fixture_apply(from.mirror, 4, "a", "old");
    cr_assert_eq(pps_mirror_encode(from.mirror, &copy), 0);
    mirror_fixture_apply(f.mirror, 1, "a", "1");
    pps_mirror_begin_listing(f.mirror, 1, 2);
    pps_mirror_apply_listed(f.mirror, 0, "a", 1, "9", 1);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    cr_expect_eq(pps_mirror_end_listing(f.mirror), 0);
    cr_expect_str_eq(pps_buf_text(&f.changes), "a=1;a=9;gone=1;gone-;");
    cr_expect_eq(pps_mirror_end(f.mirror), 2);
    pps_buf_clear(&copy);
    mirror_fixture_end(&from);
    mirror_fixture_end(&f);
}

Test(mirror, key_with_a_nul_byte_is_refused)
{
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    cr_expect_eq(pps_mirror_apply_record(f.mirror, 0, "a\0b", 3, "1", 1),
                 PPS_EINVALID);
    cr_expect_eq(pps_mirror_count(f.mirror), 0);
    mirror_fixture_end(&f);
}
