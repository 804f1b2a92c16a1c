/** @file test_load.c @brief Tests how `papayaswitch load` reports errors. */
#include "harness.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <stdlib.h>

#define LOAD_TIMEOUT_MS 60000
#define EXIT_USAGE 2

static harness_t *harness;

static void
set_up(void)
{
    cr_assert_eq(harness_new(&harness), 0);
}

static void
tear_down(void)
{
    harness_free(harness);
    harness = NULL;
}

TestSuite(load, .init = set_up, .fini = tear_down);

Test(load, unreachable_entries_are_counted)
{
    char path[HARNESS_PATH_MAX];
    const char *const args[] = {
        "load",   "--entry", "127.0.0.1:1", "--workspace", "a=key",
        "--rate", "50",      "--seconds",   "0.4",         "--seed",
        "7",      "--json",  path,          NULL};
    harness_process_t *load;
    json_t *report;
    json_int_t sent;

    harness_path(harness, path, "report.json");
    cr_assert_eq(harness_start(harness, &load, "papayaswitch", "unused", args),
                 0);
    cr_assert_eq(harness_wait(load, LOAD_TIMEOUT_MS), 0);
    report = json_load_file(path, 0, NULL);
    sent = json_integer_value(json_object_get(report, "sent"));
    cr_expect_gt(sent, 0);
    cr_expect_eq(json_integer_value(json_object_get(report, "unreachable")),
                 sent);
    cr_expect_eq(json_integer_value(json_object_get(report, "whole")), 0);
    json_decref(report);
}

Test(load, invalid_arguments_are_rejected)
{
    static const char *const cases[][10] = {
        {"load", NULL},
        {"load", "--entry", "127.0.0.1:1", "--workspace", "nokey", "--rate",
         "1", "--seconds", "1", NULL},
        {"load", "--entry", "127.0.0.1:1", "--workspace", "a=k", "--rate",
         "100000", "--seconds", "1", NULL},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        harness_process_t *load;

        cr_assert_eq(
            harness_start(harness, &load, "papayaswitch", "unused", cases[i]),
            0);
        cr_expect_eq(harness_wait(load, LOAD_TIMEOUT_MS), EXIT_USAGE,
                     "case %zu", i);
    }
}
