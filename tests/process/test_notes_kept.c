/**
 * @file test_notes_kept.c
 * @brief Tests that restarts, log outages and expired records never revert an
 * accepted note.
 */
#include "harness_watch.h"

#include "papayaswitch/log_http.h"
#include "papayaswitch/record.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3
#define REVISION 2
#define READ_RECORDS_MAX 1000
#define CHECKPOINT_BYTES_MAX 65536

static const char *const withdraw_note =
    "[version drafting/small-1]\nstate = withdrawn\n";

static cluster_t *cluster;
static revision_monitor_t *monitor;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS,
                                       .has_forwarders = 1};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    monitor = revision_monitor_start(cluster);
}

/* Called by each test, since failures in tear_down() are not counted. */
static void
expect_no_revision_decrease(void)
{
    cr_expect_eq(revision_monitor_stop(monitor), 0, "a revision decreased");
    monitor = NULL;
}

static void
tear_down(void)
{
    if (monitor != NULL) {
        revision_monitor_stop(monitor);
    }
    cluster_free(cluster);
}

TestSuite(kept, .init = set_up, .fini = tear_down);

/** Contents of the config stream. */
typedef struct {
    uint64_t first;
    uint64_t head;
    int note_count;
    int checkpoint_count;
    uint64_t last_note_offset;
    uint64_t last_checkpoint_offset;
    char checkpoint[CHECKPOINT_BYTES_MAX]; /**< the last checkpoint's record */
    size_t checkpoint_size;
} stream_scan_t;

static int
scan_entry(const pps_log_entry_t *entry, void *user)
{
    stream_scan_t *scan = user;
    pps_record_t record;

    if (pps_record_decode(&record, entry->data, entry->size) < 0) {
        return 0;
    }
    if (record.kind == PPS_RECORD_NOTE) {
        scan->note_count++;
        scan->last_note_offset = entry->offset;
    }
    else if (record.kind == PPS_RECORD_CONFIG_CHECKPOINT &&
             entry->size <= CHECKPOINT_BYTES_MAX) {
        scan->checkpoint_count++;
        scan->last_checkpoint_offset = entry->offset;
        memcpy(scan->checkpoint, entry->data, entry->size);
        scan->checkpoint_size = entry->size;
    }
    return 0;
}

static pps_log_backend_t *
open_log(void)
{
    pps_log_backend_t *log;
    char url[64];

    snprintf(url, sizeof(url), "http://127.0.0.1:%d", cluster->platform->port);
    cr_assert_eq(pps_log_http_new(&log, url), 0);
    return log;
}

static void
scan_log(stream_scan_t *scan)
{
    pps_log_backend_t *log = open_log();
    pps_log_range_t range = {0};
    int error;

    memset(scan, 0, sizeof(*scan));
    error = log->read(log, PPS_STREAM_CONFIG, 0, READ_RECORDS_MAX, 0,
                      scan_entry, scan, &range);
    if (error < 0) {
        error = log->read(log, PPS_STREAM_CONFIG, range.first,
                          READ_RECORDS_MAX, 0, scan_entry, scan, &range);
    }
    cr_assert_eq(error, 0);
    scan->first = range.first;
    scan->head = range.head;
    log->free(log);
}

/* Returns whether a host without state could start from the kept records. */
static int
has_current_checkpoint(cluster_t *unused, void *user)
{
    stream_scan_t *scan = user;

    scan_log(scan);
    return scan->checkpoint_count > 0 &&
           (scan->note_count == 0 ||
            scan->last_checkpoint_offset > scan->last_note_offset);
}

static void
wait_for_checkpoint(stream_scan_t *scan)
{
    cr_assert(cluster_wait(cluster, has_current_checkpoint, scan));
}

static void
append_config(const void *data, size_t size)
{
    pps_log_backend_t *log = open_log();
    pps_log_blob_t blob = {data, size};
    uint64_t offset;

    cr_assert_eq(log->append(log, PPS_STREAM_CONFIG, &blob, 1, &offset), 0);
    log->free(log);
}

static void
expect_revision_everywhere(json_int_t revision)
{
    for (int i = 0; i < ROUTERS; i++) {
        cr_expect(cluster_wait_revision(cluster, i, revision), "e%d", i);
        cr_expect_eq(cluster_revision(cluster, i), revision, "e%d", i);
    }
}

static void
terminate_router(int router, int signal_number)
{
    harness_signal(cluster->routers[router], signal_number);
    cr_assert_geq(harness_wait(cluster->routers[router], CLUSTER_WAIT_MS), 0);
}

static void
start_router(int router)
{
    cr_assert_eq(cluster_start_router(cluster, router), 0);
    cr_assert_eq(cluster_put_hosts(cluster), 0);
}

static void
publish_withdrawal(void)
{
    cr_assert_eq(
        cluster_publish(cluster, "withdraw", withdraw_note, "in_force"), 0);
}

Test(kept, through_rolling_restarts_during_a_log_outage)
{
    publish_withdrawal();
    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    for (int i = 0; i < ROUTERS; i++) {
        terminate_router(i, SIGTERM);
        start_router(i);
        cr_expect(cluster_wait_revision(cluster, i, REVISION), "e%d", i);
    }
    expect_revision_everywhere(REVISION);
    expect_no_revision_decrease();
}

static int
has_reports_from_all(cluster_t *unused, void *user)
{
    const int *router = user;
    json_t *status = cluster_status(cluster, *router);
    size_t index;
    json_t *host;
    int report_count = 0;

    json_array_foreach(json_object_get(status, "hosts"), index, host)
    {
        report_count +=
            json_integer_value(json_object_get(host, "heard_ms_ago")) >= 0;
    }
    json_decref(status);
    return report_count >= ROUTERS - 1;
}

Test(kept, no_host_serves_after_all_restarted_during_a_log_outage)
{
    publish_withdrawal();
    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    for (int i = 0; i < ROUTERS; i++) {
        terminate_router(i, SIGKILL);
    }
    for (int i = 0; i < ROUTERS; i++) {
        start_router(i);
    }
    for (int i = 0; i < ROUTERS; i++) {
        harness_reply_t reply;

        cr_assert(cluster_wait(cluster, has_reports_from_all, &i));
        cluster_chat(&reply, cluster, &(cluster_chat_t){.router = i});
        cr_expect_eq(reply.status, 503);
        cr_expect_str_eq(cluster_error_code(&reply), "not_serving");
        cr_expect_str_eq(cluster_error_run(&reply), "no");
        harness_reply_clear(&reply);
        cr_expect_not(cluster_is_serving(cluster, i));
    }
    cluster_set_faults(cluster->platform, "{\"log\":\"up\"}");
    expect_revision_everywhere(REVISION);
    expect_no_revision_decrease();
}

static int
is_disconnected_from_log(cluster_t *unused, void *user)
{
    const int *router = user;

    return forwarder_connection_count(cluster->platform_forwarders[*router]) ==
           0;
}

/* Closes the connections to the log first, so that no response is buffered in
 * a socket when the process continues. */
static void
suspend_router(int router)
{
    forwarder_set_mode(cluster->platform_forwarders[router], FORWARDER_CLOSED);
    cr_assert(cluster_wait(cluster, is_disconnected_from_log, &router));
    harness_signal(cluster->routers[router], SIGSTOP);
}

/* Without peers, a host can restore its catalog only from the log. */
static void
resume_without_peers(int router)
{
    char *text;

    for (int i = 0; i < ROUTERS; i++) {
        if (i != router) {
            cluster_partition(cluster, router, i, FORWARDER_CLOSED);
        }
    }
    forwarder_set_mode(cluster->platform_forwarders[router], FORWARDER_PASS);
    harness_signal(cluster->routers[router], SIGCONT);
    cr_expect(cluster_wait_revision(cluster, router, REVISION));
    text = harness_output(cluster->routers[router]);
    cr_expect_not_null(strstr(text, "config_restored"));
    free(text);
}

static void
restart_all(void)
{
    for (int i = 0; i < ROUTERS; i++) {
        terminate_router(i, SIGKILL);
    }
    for (int i = 0; i < ROUTERS; i++) {
        start_router(i);
    }
    expect_revision_everywhere(REVISION);
}

Test(kept, when_records_expire_while_a_host_is_stopped)
{
    stream_scan_t scan;

    suspend_router(2);
    publish_withdrawal();
    wait_for_checkpoint(&scan);
    cluster_set_faults(cluster->platform, "{\"retain\":1}");
    resume_without_peers(2);
    restart_all();
    expect_no_revision_decrease();
}

Test(kept, when_records_expire_before_any_checkpoint)
{
    stream_scan_t scan;

    suspend_router(2);
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw_note, NULL), 0);
    cr_assert(cluster_wait_revision(cluster, 0, REVISION));
    cluster_set_faults(cluster->platform, "{\"retain\":0}");
    wait_for_checkpoint(&scan);
    cr_expect_gt(scan.first, 0);
    resume_without_peers(2);
    restart_all();
    expect_no_revision_decrease();
}

Test(kept, when_an_old_checkpoint_is_appended_again)
{
    static stream_scan_t old;
    stream_scan_t scan;

    wait_for_checkpoint(&old);
    publish_withdrawal();
    wait_for_checkpoint(&scan);
    append_config(old.checkpoint, old.checkpoint_size);
    cluster_set_faults(cluster->platform, "{\"retain\":1}");
    expect_revision_everywhere(REVISION);
    terminate_router(2, SIGKILL);
    forwarder_set_mode(cluster->peer_forwarders[2], FORWARDER_CLOSED);
    cluster_isolate(cluster, 2, FORWARDER_CLOSED);
    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_PASS);
    start_router(2);
    expect_revision_everywhere(REVISION);
    expect_no_revision_decrease();
}

Test(kept, and_checkpoints_are_not_repeated)
{
    stream_scan_t scan;

    wait_for_checkpoint(&scan);
    publish_withdrawal();
    wait_for_checkpoint(&scan);
    usleep(3 * 1000 * 1000);
    scan_log(&scan);
    cr_expect_eq(scan.note_count, 2);
    cr_expect_leq(scan.checkpoint_count, 3);
    expect_no_revision_decrease();
}

static int
all_have_read(cluster_t *unused, void *user)
{
    const json_int_t *head = user;
    int read_count = 0;

    for (int i = 0; i < ROUTERS; i++) {
        json_t *status = cluster_status(cluster, i);
        const json_t *config = json_object_get(status, "config");

        read_count += json_integer_value(
                          json_object_get(config, "next_offset")) >= *head;
        json_decref(status);
    }
    return read_count == ROUTERS;
}

Test(kept, and_a_corrupt_record_is_skipped_by_all)
{
    stream_scan_t scan;
    json_int_t head;

    wait_for_checkpoint(&scan);
    cluster_set_faults(cluster->platform, "{\"corrupt_next\":1}");
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw_note, NULL), 0);
    scan_log(&scan);
    cr_expect_eq(scan.note_count, 1, "the record is not corrupt");
    head = (json_int_t)scan.head;
    cr_assert(cluster_wait(cluster, all_have_read, &head));
    expect_revision_everywhere(1);
    cr_expect_eq(
        cluster_publish_at(cluster, "withdraw", 1, withdraw_note, "in_force"),
        0);
    expect_revision_everywhere(REVISION);
    expect_no_revision_decrease();
}

Test(kept, and_a_lost_acknowledgement_makes_no_second_revision)
{
    stream_scan_t scan;

    cluster_set_faults(cluster->platform, "{\"drop_acks\":2}");
    publish_withdrawal();
    scan_log(&scan);
    cr_expect_eq(scan.note_count, 4,
                 "the first note and three appends of the second");
    expect_revision_everywhere(REVISION);
    expect_no_revision_decrease();
}
