/** @file test_standin_stop.c @brief Stand-ins that are ended or stopped. */
#include "harness.h"

#include <criterion/criterion.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define STOPS 50
#define STAT_PATH_MAX 1024

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

static char
thread_state(const char *folder, const char *thread)
{
    char path[STAT_PATH_MAX];
    char state = '?';
    FILE *file;

    snprintf(path, sizeof(path), "%s/%s/stat", folder, thread);
    file = fopen(path, "r");
    cr_assert_not_null(file);
    cr_expect_eq(fscanf(file, "%*d %*s %c", &state), 1);
    fclose(file);
    return state;
}

static int
count_running_threads(const harness_process_t *process)
{
    char folder[HARNESS_PATH_MAX];
    const struct dirent *thread;
    DIR *threads;
    int running = 0;

    snprintf(folder, sizeof(folder), "/proc/%d/task", (int)process->pid);
    threads = opendir(folder);
    cr_assert_not_null(threads);
    while ((thread = readdir(threads)) != NULL) {
        if (thread->d_name[0] != '.') {
            running += thread_state(folder, thread->d_name) != 'T';
        }
    }
    closedir(threads);
    return running;
}

/* A thread that still ran let an engine answer a request that was sent to it
 * after its stop (answers_lost, once in CI). */
Test(standin_stop, no_thread_of_a_stopped_engine_runs)
{
    const char *const no_args[] = {NULL};
    harness_process_t *engine;
    int running = 0;

    cr_assert_gt(
        harness_start_server(harness, &engine, "standin-engine", no_args), 0);
    for (int i = 0; i < STOPS; i++) {
        cr_assert_eq(harness_signal(engine, SIGSTOP), 0);
        running += count_running_threads(engine);
        cr_assert_eq(harness_signal(engine, SIGCONT), 0);
    }
    cr_expect_eq(running, 0);
}
