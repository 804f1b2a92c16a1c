/**
 * @file test_graceful_stop.c
 * @brief A graceful stop truncates no answer and loses no bill or outcome.
 */
#include "harness_watch.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3
#define EXIT_FORCED 1
/** Requests in progress at a router that counts as busy. */
#define BUSY_REQUESTS 4

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(graceful_stop, .init = set_up, .fini = tear_down);

static void
begin_load(harness_process_t **out, const char *account_path)
{
    char entries[ROUTERS][32];
    const char *const args[] = {
        "load",
        "--entry",
        entries[0],
        "--entry",
        entries[1],
        "--entry",
        entries[2],
        "--workspace",
        "office=office-key",
        "--mix",
        "captions=50,footnotes=20,lookups=15,releases=15",
        "--rate",
        "60",
        "--seconds",
        "4",
        "--seed",
        "11",
        "--sessions",
        "8",
        "--verify",
        "--json",
        account_path,
        NULL};

    for (int i = 0; i < ROUTERS; i++) {
        snprintf(entries[i], sizeof(entries[i]), "127.0.0.1:%d",
                 cluster->routers[i]->port);
    }
    cr_assert_eq(
        harness_start(cluster->harness, out, "papayaswitch", "none", args), 0);
}

static void
stop_router(int router, int status)
{
    harness_signal(cluster->routers[router], SIGTERM);
    cr_expect_eq(harness_wait(cluster->routers[router], CLUSTER_WAIT_MS),
                 status);
}

static void
expect_bills(json_int_t bills)
{
    pps_bill_reading_t reading;

    cr_expect(cluster_wait_bills(cluster, bills));
    cr_assert_eq(cluster_bills(cluster, &reading), 0);
    cr_expect_eq((json_int_t)reading.bills, bills);
}

static void
expect_account(const char *path)
{
    static const char *const failure_keys[] = {
        "error", "cut",       "no_answer",
        "wrong", "ran_twice", "session_version_changes"};
    json_t *account = json_load_file(path, 0, NULL);
    json_t *failures = json_object_get(account, "failures");
    char *text = json_dumps(failures, JSON_COMPACT | JSON_ENCODE_ANY);

    cr_expect_eq(json_integer_value(json_object_get(account, "whole")),
                 json_integer_value(json_object_get(account, "sent")), "%s",
                 text);
    for (size_t i = 0; i < sizeof(failure_keys) / sizeof(failure_keys[0]);
         i++) {
        cr_expect_eq(
            json_integer_value(json_object_get(account, failure_keys[i])), 0,
            "%s: %s", failure_keys[i], text);
    }
    free(text);
    expect_bills(json_integer_value(json_object_get(account, "whole")));
    json_decref(account);
}

static json_int_t
status_int(int router, const char *name)
{
    json_t *status = cluster_status(cluster, router);
    json_int_t value = json_integer_value(json_object_get(status, name));

    json_decref(status);
    return value;
}

/* Slow engines keep many requests in progress. */
static void
slow_engines(double factor)
{
    for (int i = 0; i < 2; i++) {
        char fault[32];

        snprintf(fault, sizeof(fault), "{\"slow_factor\":%.1f}", factor);
        cr_assert_eq(cluster_set_faults(cluster->engines[i], fault), 200);
    }
}

static int
is_busy(cluster_t *unused, void *user)
{
    return status_int(1, "in_progress") >= BUSY_REQUESTS;
}

Test(graceful_stop, under_load_truncates_no_answer_and_bills_all)
{
    harness_process_t *load;
    char path[HARNESS_PATH_MAX];

    harness_path(cluster->harness, path, "account.json");
    slow_engines(6);
    begin_load(&load, path);
    cr_assert(cluster_wait(cluster, is_busy, NULL));
    stop_router(1, 0);
    cr_expect_eq(harness_wait(load, CLUSTER_WAIT_MS), 0);
    expect_account(path);
}

typedef struct {
    const char *key; /**< of a release; NULL: a streamed chat */
    int router;
    int max_tokens;
    harness_reply_t reply;
    pthread_t thread;
} background_call_t;

static void *
run_background(void *user)
{
    background_call_t *background = user;
    const cluster_chat_t chat = {.router = background->router,
                                 .stream = 1,
                                 .max_tokens = background->max_tokens};

    if (background->key != NULL) {
        cluster_release(&background->reply, cluster, background->router,
                        background->key, NULL);
    }
    else {
        cluster_chat(&background->reply, cluster, &chat);
    }
    return NULL;
}

static int
is_in_progress(cluster_t *unused, void *user)
{
    const background_call_t *background = user;

    return status_int(background->router, "in_progress") > 0;
}

static void
start_background(background_call_t *background)
{
    cr_assert_eq(
        pthread_create(&background->thread, NULL, run_background, background),
        0);
    cr_assert(cluster_wait(cluster, is_in_progress, background));
}

Test(graceful_stop, waits_for_a_stream_in_progress)
{
    background_call_t stream = {NULL, 1, 700};

    start_background(&stream);
    stop_router(1, 0);
    pthread_join(stream.thread, NULL);
    cr_expect_eq(stream.reply.status, 200);
    cr_expect_not_null(
        strstr(pps_buf_text(&stream.reply.text), "data: [DONE]"));
    harness_reply_clear(&stream.reply);
    expect_bills(1);
}

static int
is_draining(cluster_t *unused, void *user)
{
    const int *router = user;
    json_t *status = cluster_status(cluster, *router);
    int draining = json_is_true(json_object_get(status, "draining"));

    json_decref(status);
    return draining;
}

Test(graceful_stop, is_forced_by_a_second_signal)
{
    background_call_t stream = {NULL, 1, 700};

    slow_engines(20);
    start_background(&stream);
    harness_signal(cluster->routers[1], SIGTERM);
    cr_assert(cluster_wait(cluster, is_draining, &stream.router));
    stop_router(1, EXIT_FORCED);
    pthread_join(stream.thread, NULL);
    cr_expect_null(strstr(pps_buf_text(&stream.reply.text), "data: [DONE]"));
    harness_reply_clear(&stream.reply);
}

static int
is_chat_answered(cluster_t *unused, void *user)
{
    const int *router = user;
    harness_reply_t reply;
    int answered;

    cluster_chat(&reply, cluster, &(cluster_chat_t){.router = *router});
    answered = reply.status == 200;
    harness_reply_clear(&reply);
    return answered;
}

/* The partner holds the bills and appends them after the outage. */
Test(graceful_stop, hands_its_bills_over_in_an_outage)
{
    int router = 1;

    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    cr_assert(cluster_wait(cluster, is_chat_answered, &router));
    for (int i = 1; i < 10; i++) {
        cr_expect(is_chat_answered(NULL, &router));
    }
    stop_router(1, 0);
    cluster_set_faults(cluster->platform, "{\"log\":\"up\"}");
    cluster->router_listing[1] = CLUSTER_UNLISTED;
    cr_assert_eq(cluster_put_hosts(cluster), 0);
    expect_bills(10);
}

/* A call is sent only after its claim has been appended to the log. */
static int
is_dispatched(cluster_t *unused, void *user)
{
    const background_call_t *release = user;
    json_t *events =
        cluster_events(cluster, release->router, "service_called");
    size_t count = json_array_size(events);

    json_decref(events);
    return count > 0;
}

/* The claim was granted before the outage; the stop waits for the log. */
Test(graceful_stop, waits_for_the_log_with_a_pending_outcome)
{
    background_call_t release = {"act-1", 1};
    harness_reply_t reply;

    for (int i = 0; i < 2; i++) {
        cluster_set_faults(cluster->services[i], "{\"delay_ms\":600}");
    }
    start_background(&release);
    cr_assert(cluster_wait(cluster, is_dispatched, &release));
    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    pthread_join(release.thread, NULL);
    cr_expect_eq(release.reply.status, 200, "%s",
                 pps_buf_text(&release.reply.text));
    harness_reply_clear(&release.reply);
    harness_signal(cluster->routers[1], SIGTERM);
    cr_assert(cluster_wait(cluster, is_draining, &release.router));
    cr_expect_gt(status_int(1, "outcomes_pending"), 0);
    cr_expect_eq(harness_wait(cluster->routers[1], 1000), -1,
                 "exit before the log is available");
    cluster_set_faults(cluster->platform, "{\"log\":\"up\"}");
    cr_expect_eq(harness_wait(cluster->routers[1], CLUSTER_WAIT_MS), 0);
    cluster_release(&reply, cluster, 2, release.key, NULL);
    cr_expect_eq(reply.status, 200, "%s", pps_buf_text(&reply.text));
    cr_expect_eq(harness_reply_int(&reply, "run"), 1);
    harness_reply_clear(&reply);
    cr_expect_eq(cluster_run_count(cluster, release.key), 1);
}
