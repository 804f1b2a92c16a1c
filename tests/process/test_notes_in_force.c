/**
 * @file test_notes_in_force.c
 * @brief An accepted note is in force everywhere, under partitions and pauses.
 */
#include "harness_watch.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define OLD "drafting/small-1"
#define CALLS_AFTER 60

static const char *const withdraw =
    "[version drafting/small-1]\nstate = withdrawn\n";

/** Hosts that a fault hits, ended by -1. */
typedef struct {
    int routers;
    int hit[CLUSTER_ROUTERS_MAX];
    forwarder_mode_t mode;
    int log_only;    /**< the links between hosts stay */
    int stays_up;    /**< the hit hosts go on serving */
    const char *out; /**< id that the command names as left out, or NULL */
} fault_t;

static cluster_t *
start(int routers)
{
    const cluster_options_t options = {.routers = routers,
                                       .has_forwarders = 1};
    cluster_t *cluster;

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    return cluster;
}

static int
is_hit(const fault_t *fault, int router)
{
    for (int i = 0; fault->hit[i] >= 0; i++) {
        if (fault->hit[i] == router) {
            return 1;
        }
    }
    return 0;
}

/* The hosts that are hit still reach each other. */
static void
set_fault(cluster_t *cluster, const fault_t *fault, forwarder_mode_t mode)
{
    for (int i = 0; fault->hit[i] >= 0; i++) {
        forwarder_set_mode(cluster->platform_forwarders[fault->hit[i]], mode);
        for (int j = 0; j < fault->routers && !fault->log_only; j++) {
            if (!is_hit(fault, j)) {
                cluster_partition(cluster, fault->hit[i], j, mode);
            }
        }
    }
}

static int
have_called(const callers_t *callers, int count)
{
    for (int i = 0; i < CLUSTER_WAIT_MS / 10; i++) {
        if (callers_count(callers) >= count) {
            return 1;
        }
        usleep(10000);
    }
    return 0;
}

/* A host that reaches neither the log nor another host cannot make a bill
 * safe: it ends such an answer with an error that says so. */
static void
expect_account(callers_t *callers, int isolated)
{
    callers_result_t account;

    callers_stop(callers, &account);
    cr_expect_gt(account.complete, 0);
    cr_expect_eq(account.other, 0, "%d: %s", account.other,
                 account.first_other);
    cr_expect(isolated || account.withheld == 0, "%d withheld",
              account.withheld);
}

static void
expect_all_at(cluster_t *cluster, json_int_t revision)
{
    for (int i = 0; i < cluster->options.routers; i++) {
        cr_expect(cluster_wait_revision(cluster, i, revision), "e%d", i);
        cr_expect_eq(cluster_revision(cluster, i), revision, "e%d", i);
    }
}

static void
expect_serving(cluster_t *cluster, const fault_t *fault)
{
    for (int i = 0; i < fault->routers; i++) {
        int serves = !is_hit(fault, i) || fault->stays_up;

        cr_expect(cluster_wait_serving(cluster, i, serves), "e%d", i);
    }
}

/* Callers go on all the while; after `in_force` no engine starts the old
 * version again, before or after the fault heals. */
static void
withdraw_under(const fault_t *fault)
{
    cluster_t *cluster = start(fault->routers);
    revision_monitor_t *watch = revision_monitor_start(cluster);
    callers_t *callers = callers_start(cluster);
    json_int_t started;

    cr_assert(have_called(callers, CALLS_AFTER));
    cr_expect_gt(cluster_started_count(cluster, OLD), 0);
    set_fault(cluster, fault, fault->mode);
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, "in_force"),
                 0);
    started = cluster_started_count(cluster, OLD);
    cr_expect(have_called(callers, callers_count(callers) + CALLS_AFTER));
    expect_serving(cluster, fault);
    set_fault(cluster, fault, FORWARDER_PASS);
    expect_all_at(cluster, 2);
    cr_expect(have_called(callers, callers_count(callers) + CALLS_AFTER));
    expect_account(callers, !fault->log_only);
    cr_expect_eq(cluster_started_count(cluster, OLD), started);
    cr_expect_eq(revision_monitor_stop(watch), 0);
    cluster_free(cluster);
}

Test(in_force, with_one_host_cut_off)
{
    const fault_t fault = {3, {2, -1}, FORWARDER_CLOSED};

    withdraw_under(&fault);
}

Test(in_force, with_one_host_frozen_off)
{
    const fault_t fault = {3, {1, -1}, FORWARDER_FROZEN};

    withdraw_under(&fault);
}

Test(in_force, with_a_minority_cut_off_together)
{
    const fault_t fault = {5, {3, 4, -1}, FORWARDER_CLOSED};

    withdraw_under(&fault);
}

Test(in_force, with_one_host_alone_reading_the_log)
{
    const fault_t fault = {
        3, {1, 2, -1}, FORWARDER_CLOSED, .log_only = 1, .stays_up = 1};

    withdraw_under(&fault);
}

/* The half that reads the log holds the note but is no majority: it is not
 * reported as accepted, and is in force once the halves meet again. */
Test(in_force, is_not_reported_by_a_half_that_alone_sees_the_log)
{
    const fault_t fault = {4, {2, 3, -1}, FORWARDER_CLOSED};
    cluster_t *cluster = start(4);
    revision_monitor_t *watch = revision_monitor_start(cluster);
    char *text;

    set_fault(cluster, &fault, FORWARDER_CLOSED);
    cluster->publish_timeout_s = "4";
    cr_expect_eq(cluster_publish(cluster, "withdraw", withdraw, "accepted"),
                 1);
    text = harness_output(cluster->last_command);
    cr_expect_not_null(strstr(text, "reached only: published"), "%s", text);
    cr_expect_not_null(strstr(text, "missing: e3"), "%s", text);
    free(text);
    cr_expect(cluster_wait_revision(cluster, 0, 2));
    expect_serving(cluster, &fault);
    set_fault(cluster, &fault, FORWARDER_PASS);
    expect_all_at(cluster, 2);
    cr_expect_eq(revision_monitor_stop(watch), 0);
    cluster_free(cluster);
}

typedef struct {
    cluster_t *cluster;
    cluster_chat_t chat;
    harness_reply_t reply;
    pthread_t thread;
} background_t;

static void *
run_background(void *user)
{
    background_t *background = user;

    cluster_chat(&background->reply, background->cluster, &background->chat);
    return NULL;
}

static void
start_background(background_t *background)
{
    cr_assert_eq(
        pthread_create(&background->thread, NULL, run_background, background),
        0);
}

static int
is_in_progress(cluster_t *cluster, void *user)
{
    const int *router = user;
    json_t *status = cluster_status(cluster, *router);
    json_int_t count =
        json_integer_value(json_object_get(status, "in_progress"));

    json_decref(status);
    return count > 0;
}

/* Frozen past the window in the middle of a stream and of steady calls. */
Test(in_force, with_a_host_stopped_past_the_window)
{
    cluster_t *cluster = start(3);
    background_t stream = {cluster,
                           {.router = 2, .stream = 1, .max_tokens = 600}};
    callers_t *callers;
    json_int_t started;
    char *text;
    int router = 2;

    start_background(&stream);
    cr_assert(cluster_wait(cluster, is_in_progress, &router));
    callers = callers_start(cluster);
    cr_assert(have_called(callers, CALLS_AFTER));
    harness_signal(cluster->routers[2], SIGSTOP);
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, "in_force"),
                 0);
    text = harness_output(cluster->last_command);
    cr_expect_not_null(strstr(text, "missing: e2"), "%s", text);
    free(text);
    started = cluster_started_count(cluster, OLD);
    harness_signal(cluster->routers[2], SIGCONT);
    cr_expect(have_called(callers, callers_count(callers) + 2 * CALLS_AFTER));
    expect_account(callers, 0);
    cr_expect_eq(cluster_started_count(cluster, OLD), started);
    pthread_join(stream.thread, NULL);
    cr_expect_eq(stream.reply.status, 200);
    cr_expect_not_null(
        strstr(pps_buf_text(&stream.reply.text), "data: [DONE]"));
    harness_reply_clear(&stream.reply);
    expect_all_at(cluster, 2);
    cluster_free(cluster);
}

/* A new session waits for its pin in the log while the note comes into force
 * through the peers: it was chosen by the old catalog and must not start. */
Test(in_force, over_a_request_that_waits_for_the_log)
{
    cluster_t *cluster = start(3);
    background_t first = {cluster, {.router = 2, .session = "s1"}};
    json_int_t started;
    int router = 2;

    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_FROZEN);
    start_background(&first);
    cr_assert(cluster_wait(cluster, is_in_progress, &router));
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, "in_force"),
                 0);
    started = cluster_started_count(cluster, OLD);
    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_PASS);
    pthread_join(first.thread, NULL);
    cr_expect(first.reply.status == 200 ||
                  strcmp(cluster_error_run(&first.reply), "no") == 0,
              "%d %s", first.reply.status, pps_buf_text(&first.reply.text));
    cr_expect_eq(cluster_started_count(cluster, OLD), started);
    harness_reply_clear(&first.reply);
    cluster_free(cluster);
}
