/** @file test_load.c @brief `papayaswitch load` without an entry host. */
#include "harness.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <stdlib.h>

#define LOAD_TIMEOUT_MS 60000
#define EXIT_MISUSE 2

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

Test(load, unreachable_entries_are_told)
{
    char path[HARNESS_PATH_MAX];
    const char *const args[] = {
        "load",   "--entry", "127.0.0.1:1", "--workspace", "a=key",
        "--rate", "50",      "--seconds",   "0.4",         "--seed",
        "7",      "--json",  path,          NULL};
    harness_process_t *load;
    json_t *account;
    json_int_t sent;

    harness_path(harness, path, "account.json");
    cr_assert_eq(harness_start(harness, &load, "papayaswitch", "unused", args),
                 0);
    cr_assert_eq(harness_wait(load, LOAD_TIMEOUT_MS), 0);
    account = json_load_file(path, 0, NULL);
    sent = json_integer_value(json_object_get(account, "sent"));
    cr_expect_gt(sent, 0);
    cr_expect_eq(json_integer_value(json_object_get(account, "unreachable")),
                 sent);
    cr_expect_eq(json_integer_value(json_object_get(account, "whole")), 0);
    json_decref(account);
}

Test(load, misuse_is_refused)
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
        cr_expect_eq(harness_wait(load, LOAD_TIMEOUT_MS), EXIT_MISUSE,
                     "case %zu", i);
    }
}
