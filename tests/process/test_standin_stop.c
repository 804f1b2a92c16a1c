/** @file test_standin_stop.c @brief Tests that stand-ins exit on SIGTERM. */
#include "harness.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>

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

TestSuite(standin_stop, .init = set_up, .fini = tear_down);

Test(standin_stop, each_exits_without_error)
{
    static const char *const programs[] = {
        "standin-platform", "standin-engine", "standin-service"};

    const char *const no_args[] = {NULL};

    for (size_t i = 0; i < 3; i++) {
        harness_process_t *process;
        char *text;

        cr_assert_gt(
            harness_start_server(harness, &process, programs[i], no_args), 0);
        cr_assert_eq(harness_signal(process, SIGTERM), 0);
        cr_expect_eq(harness_wait(process, 5000), 0, "%s", programs[i]);
        text = harness_output(process);
        cr_expect_str_empty(text);
        free(text);
    }
}
