/**
 * @file test_notes_in_force.c
 * @brief Tests that a note reported as in force is in force on every host,
 * also under partitions and pauses.
 */
#include "harness_watch.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define OLD_VERSION "drafting/small-1"
#define CALLS_PER_PHASE 60

static const char *const withdraw_note =
    "[version drafting/small-1]\nstate = withdrawn\n";

/** A network fault and the hosts that it affects. */
typedef struct {
    int router_count;
    int affected[CLUSTER_ROUTERS_MAX]; /**< ended by -1 */
    forwarder_mode_t mode;
    int log_only;           /**< links between hosts are not cut */
    int keeps_serving;      /**< affected hosts continue to serve */
    const char *missing_id; /**< id reported as missing, or NULL */
} fault_t;

static cluster_t *
start_cluster(int routers)
{
    const cluster_options_t options = {.routers = routers,
                                       .has_forwarders = 1};
    cluster_t *cluster;

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    return cluster;
}

static int
is_affected(const fault_t *fault, int router)
{
    for (int i = 0; fault->affected[i] >= 0; i++) {
        if (fault->affected[i] == router) {
            return 1;
        }
    }
    return 0;
}

/* Affected hosts still reach each other. */
static void
apply_fault(cluster_t *cluster, const fault_t *fault, forwarder_mode_t mode)
{
    for (int i = 0; fault->affected[i] >= 0; i++) {
        forwarder_set_mode(cluster->platform_forwarders[fault->affected[i]],
                           mode);
        for (int j = 0; j < fault->router_count && !fault->log_only; j++) {
            if (!is_affected(fault, j)) {
                cluster_partition(cluster, fault->affected[i], j, mode);
            }
        }
    }
}

static int
wait_for_calls(const callers_t *callers, int count)
{
    for (int i = 0; i < CLUSTER_WAIT_MS / 10; i++) {
        if (callers_count(callers) >= count) {
            return 1;
        }
        usleep(10000);
    }
    return 0;
}

/* A host that reaches neither the log nor another host cannot save a bill. It
 * ends the answer with the error `bill_not_safe`, counted as withheld. */
static void
stop_and_check_callers(callers_t *callers, int isolated)
{
    callers_result_t result;

    callers_stop(callers, &result);
    cr_expect_gt(result.complete, 0);
    cr_expect_eq(result.other, 0, "%d: %s", result.other, result.first_other);
    cr_expect(isolated || result.withheld == 0, "%d withheld",
              result.withheld);
}

static void
expect_revision_everywhere(cluster_t *cluster, json_int_t revision)
{
    for (int i = 0; i < cluster->options.routers; i++) {
        cr_expect(cluster_wait_revision(cluster, i, revision), "e%d", i);
        cr_expect_eq(cluster_revision(cluster, i), revision, "e%d", i);
    }
}

static void
expect_serving(cluster_t *cluster, const fault_t *fault)
{
    for (int i = 0; i < fault->router_count; i++) {
        int serves = !is_affected(fault, i) || fault->keeps_serving;

        cr_expect(cluster_wait_serving(cluster, i, serves), "e%d", i);
    }
}

/* Callers send requests throughout. Once the note is in force, no engine may
 * start the old version, neither during the fault nor after it. */
static void
check_withdrawal(const fault_t *fault)
{
    cluster_t *cluster = start_cluster(fault->router_count);
    revision_monitor_t *monitor = revision_monitor_start(cluster);
    callers_t *callers = callers_start(cluster);
    json_int_t started;

    cr_assert(wait_for_calls(callers, CALLS_PER_PHASE));
    cr_expect_gt(cluster_started_count(cluster, OLD_VERSION), 0);
    apply_fault(cluster, fault, fault->mode);
    cr_assert_eq(
        cluster_publish(cluster, "withdraw", withdraw_note, "in_force"), 0);
    started = cluster_started_count(cluster, OLD_VERSION);
    cr_expect(
        wait_for_calls(callers, callers_count(callers) + CALLS_PER_PHASE));
    expect_serving(cluster, fault);
    apply_fault(cluster, fault, FORWARDER_PASS);
    expect_revision_everywhere(cluster, 2);
    cr_expect(
        wait_for_calls(callers, callers_count(callers) + CALLS_PER_PHASE));
    stop_and_check_callers(callers, !fault->log_only);
    cr_expect_eq(cluster_started_count(cluster, OLD_VERSION), started);
    cr_expect_eq(revision_monitor_stop(monitor), 0);
    cluster_free(cluster);
}

Test(in_force, with_one_host_cut_off)
{
    const fault_t fault = {3, {2, -1}, FORWARDER_CLOSED};

    check_withdrawal(&fault);
}

Test(in_force, with_one_host_frozen)
{
    const fault_t fault = {3, {1, -1}, FORWARDER_FROZEN};

    check_withdrawal(&fault);
}

Test(in_force, with_a_minority_cut_off_together)
{
    const fault_t fault = {5, {3, 4, -1}, FORWARDER_CLOSED};

    check_withdrawal(&fault);
}

Test(in_force, with_only_one_host_reading_the_log)
{
    const fault_t fault = {
        3, {1, 2, -1}, FORWARDER_CLOSED, .log_only = 1, .keeps_serving = 1};

    check_withdrawal(&fault);
}

/* The half that reads the log is not a majority, so the note is not reported
 * as accepted. It comes into force everywhere once the partition ends. */
Test(in_force, is_not_reported_without_a_majority)
{
    const fault_t fault = {4, {2, 3, -1}, FORWARDER_CLOSED};
    cluster_t *cluster = start_cluster(4);
    revision_monitor_t *monitor = revision_monitor_start(cluster);
    char *text;

    apply_fault(cluster, &fault, FORWARDER_CLOSED);
    cluster->publish_timeout_s = "4";
    cr_expect_eq(
        cluster_publish(cluster, "withdraw", withdraw_note, "accepted"), 1);
    text = harness_output(cluster->last_command);
    cr_expect_not_null(strstr(text, "reached only: published"), "%s", text);
    cr_expect_not_null(strstr(text, "missing: e3"), "%s", text);
    free(text);
    cr_expect(cluster_wait_revision(cluster, 0, 2));
    expect_serving(cluster, &fault);
    apply_fault(cluster, &fault, FORWARDER_PASS);
    expect_revision_everywhere(cluster, 2);
    cr_expect_eq(revision_monitor_stop(monitor), 0);
    cluster_free(cluster);
}

typedef struct {
    cluster_t *cluster;
    cluster_chat_t chat;
    harness_reply_t reply;
    pthread_t thread;
} background_chat_t;

static void *
run_chat(void *user)
{
    background_chat_t *background = user;

    cluster_chat(&background->reply, background->cluster, &background->chat);
    return NULL;
}

static void
start_chat(background_chat_t *background)
{
    cr_assert_eq(
        pthread_create(&background->thread, NULL, run_chat, background), 0);
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

/* Stops a host for longer than its right to serve lasts, during a stream and
 * other calls. */
Test(in_force, with_a_host_stopped_past_the_window)
{
    cluster_t *cluster = start_cluster(3);
    background_chat_t stream = {cluster,
                                {.router = 2, .stream = 1, .max_tokens = 600}};
    callers_t *callers;
    json_int_t started;
    char *text;
    int router = 2;

    start_chat(&stream);
    cr_assert(cluster_wait(cluster, is_in_progress, &router));
    callers = callers_start(cluster);
    cr_assert(wait_for_calls(callers, CALLS_PER_PHASE));
    harness_signal(cluster->routers[2], SIGSTOP);
    cr_assert_eq(
        cluster_publish(cluster, "withdraw", withdraw_note, "in_force"), 0);
    text = harness_output(cluster->last_command);
    cr_expect_not_null(strstr(text, "missing: e2"), "%s", text);
    free(text);
    started = cluster_started_count(cluster, OLD_VERSION);
    harness_signal(cluster->routers[2], SIGCONT);
    cr_expect(
        wait_for_calls(callers, callers_count(callers) + 2 * CALLS_PER_PHASE));
    stop_and_check_callers(callers, 0);
    cr_expect_eq(cluster_started_count(cluster, OLD_VERSION), started);
    pthread_join(stream.thread, NULL);
    cr_expect_eq(stream.reply.status, 200);
    cr_expect_not_null(
        strstr(pps_buf_text(&stream.reply.text), "data: [DONE]"));
    harness_reply_clear(&stream.reply);
    expect_revision_everywhere(cluster, 2);
    cluster_free(cluster);
}

/* The first request of a session waits for its pin to be written to the log
 * while the note comes into force through the peers. Its version was chosen
 * from the old catalog and must not be started. */
Test(in_force, with_a_request_waiting_for_the_log)
{
    cluster_t *cluster = start_cluster(3);
    background_chat_t pending = {cluster, {.router = 2, .session = "s1"}};
    json_int_t started;
    int router = 2;

    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_FROZEN);
    start_chat(&pending);
    cr_assert(cluster_wait(cluster, is_in_progress, &router));
    cr_assert_eq(
        cluster_publish(cluster, "withdraw", withdraw_note, "in_force"), 0);
    started = cluster_started_count(cluster, OLD_VERSION);
    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_PASS);
    pthread_join(pending.thread, NULL);
    cr_expect(pending.reply.status == 200 ||
                  strcmp(cluster_error_run(&pending.reply), "no") == 0,
              "%d %s", pending.reply.status,
              pps_buf_text(&pending.reply.text));
    cr_expect_eq(cluster_started_count(cluster, OLD_VERSION), started);
    harness_reply_clear(&pending.reply);
    cluster_free(cluster);
}
