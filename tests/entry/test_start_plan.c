/** @file test_start_plan.c @brief Tests what a starting host lists, and the
 * transfer of all topics. */
#include "mirror/copy_bundle.h"
#include "mirror/start_plan.h"
#include "papayaswitch/errors.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS PPS_US_PER_MS

typedef struct {
    const char *name;
    pps_start_state_t state;
    int expected;
} case_t;

/* elapsed_us, listed_us, is_failing, hosts, before, is_link_fast, has_source
 */
static const case_t cases[] = {
    {"the number of hosts is not known yet", {5 * MS, -1, 0, 4, 0, 0, 0}, 0},
    {"13 hosts list at once", {5 * MS, 5 * MS, 0, 13, 12, 0, 0}, 1},
    {"the last of 14 waits", {5 * MS, 5 * MS, 0, 14, 13, 0, 0}, 0},
    {"few hosts, and the store fails", {100 * MS, -1, 1, 4, 0, 0, 0}, 1},
    {"few hosts, and the list is not answered",
     {1500 * MS, -1, 0, 4, 0, 0, 0},
     1},
    {"many hosts: the first in rank", {5 * MS, 5 * MS, 0, 300, 3, 0, 0}, 1},
    {"many hosts: the next ones wait", {504 * MS, 5 * MS, 0, 300, 4, 0, 0}, 0},
    {"many hosts: the first ones may be gone",
     {505 * MS, 5 * MS, 0, 300, 4, 0, 0},
     1},
    {"a fast link ranks before", {5 * MS, 5 * MS, 0, 300, 31, 1, 0}, 1},
    {"a live host has the copies", {4000 * MS, 5 * MS, 0, 300, 4, 0, 1}, 0},
    {"nobody sent the copies", {9005 * MS, 5 * MS, 0, 300, 299, 0, 1}, 1},
    {"nobody has the copies", {5005 * MS, 5 * MS, 0, 300, 299, 0, 0}, 1},
    {"many hosts, and the store fails: they do not list all at once",
     {1500 * MS, -1, 1, 300, 299, 0, 0},
     0},
};

Test(start_plan, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        cr_expect_eq(pps_start_may_list(&cases[i].state), cases[i].expected,
                     "%s", cases[i].name);
    }
}

/* A host must not wait longer than leaves time to serve 15 s after the start,
 * whatever it knows. */
Test(start_plan, every_host_lists_in_time)
{
    for (unsigned int before = 0; before < 600; before++) {
        pps_start_state_t state = {.elapsed_us = 11000 * MS,
                                   .listed_us = 1500 * MS,
                                   .hosts = 600,
                                   .before = before,
                                   .has_source = before % 2 == 0};

        cr_expect(pps_start_may_list(&state), "%u", before);
        state.listed_us = -1;
        cr_expect(pps_start_may_list(&state), "%u, list not read", before);
    }
}

static void
on_copy(void *user, const char *topic, size_t topic_size, const char *packed,
        size_t size)
{
    pps_buf_printf(user, "%.*s=%.*s;", (int)topic_size, topic, (int)size,
                   packed);
}

/* Guards against a sender that fails in the middle: nothing of a truncated
 * bundle may be used. */
Test(copy_bundle, truncated_bundle_is_rejected)
{
    pps_buf_t first = PPS_BUF_INIT;
    pps_buf_t second = PPS_BUF_INIT;
    pps_buf_t bundle = PPS_BUF_INIT;
    pps_buf_t seen = PPS_BUF_INIT;

    pps_buf_puts(&first, "one");
    pps_buf_puts(&second, "two");
    cr_assert_eq(pps_copy_bundle_begin(&bundle, 2), 0);
    cr_assert_eq(pps_copy_bundle_add(&bundle, "a", &first), 0);
    cr_assert_eq(pps_copy_bundle_add(&bundle, "b", &second), 0);
    for (size_t size = 0; size < bundle.size; size++) {
        cr_expect_eq(pps_copy_bundle_read(bundle.data, size, on_copy, &seen),
                     PPS_ECORRUPT, "cut to %zu bytes", size);
    }
    cr_expect_eq(seen.size, 0);
    cr_expect_eq(
        pps_copy_bundle_read(bundle.data, bundle.size, on_copy, &seen), 0);
    cr_expect_str_eq(pps_buf_text(&seen), "a=one;b=two;");
    cr_expect_eq(pps_copy_bundle_read("\x91\x92\x01\x02", 4, on_copy, &seen),
                 PPS_ECORRUPT);
    pps_buf_clear(&first);
    pps_buf_clear(&second);
    pps_buf_clear(&bundle);
    pps_buf_clear(&seen);
}
