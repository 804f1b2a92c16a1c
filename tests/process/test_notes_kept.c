/**
 * @file test_notes_kept.c
 * @brief An accepted note never reverts: restarts, outages, expiry.
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
#define READ_LIMIT 1000
#define BLOB_MAX 65536

static const char *const withdraw =
    "[version drafting/small-1]\nstate = withdrawn\n";

static cluster_t *cluster;
static revision_monitor_t *watch;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS,
                                       .has_forwarders = 1};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    watch = revision_monitor_start(cluster);
}

/* Part of each test: what fails in a fixture's end counts for nothing. */
static void
expect_no_fall(void)
{
    cr_expect_eq(revision_monitor_stop(watch), 0, "a revision fell");
    watch = NULL;
}

static void
tear_down(void)
{
    if (watch != NULL) {
        revision_monitor_stop(watch);
    }
    cluster_free(cluster);
}

TestSuite(kept, .init = set_up, .fini = tear_down);

/** What stands in the config stream. */
typedef struct {
    uint64_t first;
    uint64_t head;
    int notes;
    int checkpoints;
    uint64_t last_note;
    uint64_t last_checkpoint;
    char blob[BLOB_MAX]; /**< the last checkpoint's record */
    size_t size;
} scan_t;

static int
scan_entry(const pps_log_entry_t *entry, void *user)
{
    scan_t *scan = user;
    pps_record_t record;

    if (pps_record_decode(&record, entry->data, entry->size) < 0) {
        return 0;
    }
    if (record.kind == PPS_RECORD_NOTE) {
        scan->notes++;
        scan->last_note = entry->offset;
    }
    else if (record.kind == PPS_RECORD_CONFIG_CHECKPOINT &&
             entry->size <= BLOB_MAX) {
        scan->checkpoints++;
        scan->last_checkpoint = entry->offset;
        memcpy(scan->blob, entry->data, entry->size);
        scan->size = entry->size;
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
scan_log(scan_t *scan)
{
    pps_log_backend_t *log = open_log();
    pps_log_range_t range = {0};
    int error;

    memset(scan, 0, sizeof(*scan));
    error = log->read(log, PPS_STREAM_CONFIG, 0, READ_LIMIT, 0, scan_entry,
                      scan, &range);
    if (error < 0) {
        error = log->read(log, PPS_STREAM_CONFIG, range.first, READ_LIMIT, 0,
                          scan_entry, scan, &range);
    }
    cr_assert_eq(error, 0);
    scan->first = range.first;
    scan->head = range.head;
    log->free(log);
}

/* Whether a host without state could start from what the log keeps. */
static int
has_checkpoint(cluster_t *unused, void *user)
{
    scan_t *scan = user;

    scan_log(scan);
    return scan->checkpoints > 0 &&
           (scan->notes == 0 || scan->last_checkpoint > scan->last_note);
}

static void
wait_checkpoint(scan_t *scan)
{
    cr_assert(cluster_wait(cluster, has_checkpoint, scan));
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
expect_all_at(json_int_t revision)
{
    for (int i = 0; i < ROUTERS; i++) {
        cr_expect(cluster_wait_revision(cluster, i, revision), "e%d", i);
        cr_expect_eq(cluster_revision(cluster, i), revision, "e%d", i);
    }
}

static void
end_router(int router, int number)
{
    harness_signal(cluster->routers[router], number);
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
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, "in_force"),
                 0);
}

Test(kept, through_restarts_in_turn_during_an_outage)
{
    publish_withdrawal();
    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    for (int i = 0; i < ROUTERS; i++) {
        end_router(i, SIGTERM);
        start_router(i);
        cr_expect(cluster_wait_revision(cluster, i, REVISION), "e%d", i);
    }
    expect_all_at(REVISION);
    expect_no_fall();
}

static int
hears_all(cluster_t *unused, void *user)
{
    const int *router = user;
    json_t *status = cluster_status(cluster, *router);
    size_t index;
    json_t *host;
    int heard = 0;

    json_array_foreach(json_object_get(status, "hosts"), index, host)
    {
        heard +=
            json_integer_value(json_object_get(host, "heard_ms_ago")) >= 0;
    }
    json_decref(status);
    return heard >= ROUTERS - 1;
}

Test(kept, nobody_serves_after_all_restarted_during_an_outage)
{
    publish_withdrawal();
    cluster_set_faults(cluster->platform, "{\"log\":\"down\"}");
    for (int i = 0; i < ROUTERS; i++) {
        end_router(i, SIGKILL);
    }
    for (int i = 0; i < ROUTERS; i++) {
        start_router(i);
    }
    for (int i = 0; i < ROUTERS; i++) {
        harness_reply_t reply;

        cr_assert(cluster_wait(cluster, hears_all, &i));
        cluster_chat(&reply, cluster, &(cluster_chat_t){.router = i});
        cr_expect_eq(reply.status, 503);
        cr_expect_str_eq(cluster_error_code(&reply), "not_serving");
        cr_expect_str_eq(cluster_error_run(&reply), "no");
        harness_reply_clear(&reply);
        cr_expect_not(cluster_is_serving(cluster, i));
    }
    cluster_set_faults(cluster->platform, "{\"log\":\"up\"}");
    expect_all_at(REVISION);
    expect_no_fall();
}

static int
reads_no_log(cluster_t *unused, void *user)
{
    const int *router = user;

    return forwarder_connection_count(cluster->platform_forwarders[*router]) ==
           0;
}

/* No answer of the log waits for it in a socket when it is continued. */
static void
stop_router(int router)
{
    forwarder_set_mode(cluster->platform_forwarders[router], FORWARDER_CLOSED);
    cr_assert(cluster_wait(cluster, reads_no_log, &router));
    harness_signal(cluster->routers[router], SIGSTOP);
}

/* A host that may ask no peer comes back by the log alone. */
static void
come_back_alone(int router)
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
        end_router(i, SIGKILL);
    }
    for (int i = 0; i < ROUTERS; i++) {
        start_router(i);
    }
    expect_all_at(REVISION);
}

Test(kept, when_records_expire_under_a_stopped_host)
{
    scan_t scan;

    stop_router(2);
    publish_withdrawal();
    wait_checkpoint(&scan);
    cluster_set_faults(cluster->platform, "{\"retain\":1}");
    come_back_alone(2);
    restart_all();
    expect_no_fall();
}

Test(kept, when_records_expire_before_any_checkpoint)
{
    scan_t scan;

    stop_router(2);
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, NULL), 0);
    cr_assert(cluster_wait_revision(cluster, 0, REVISION));
    cluster_set_faults(cluster->platform, "{\"retain\":0}");
    wait_checkpoint(&scan);
    cr_expect_gt(scan.first, 0);
    come_back_alone(2);
    restart_all();
    expect_no_fall();
}

Test(kept, when_an_old_checkpoint_comes_back)
{
    static scan_t old;
    scan_t scan;

    wait_checkpoint(&old);
    publish_withdrawal();
    wait_checkpoint(&scan);
    append_config(old.blob, old.size);
    cluster_set_faults(cluster->platform, "{\"retain\":1}");
    expect_all_at(REVISION);
    end_router(2, SIGKILL);
    forwarder_set_mode(cluster->peer_forwarders[2], FORWARDER_CLOSED);
    cluster_isolate(cluster, 2, FORWARDER_CLOSED);
    forwarder_set_mode(cluster->platform_forwarders[2], FORWARDER_PASS);
    start_router(2);
    expect_all_at(REVISION);
    expect_no_fall();
}

Test(kept, and_one_checkpoint_follows_a_note)
{
    scan_t scan;

    wait_checkpoint(&scan);
    publish_withdrawal();
    wait_checkpoint(&scan);
    usleep(3 * 1000 * 1000);
    scan_log(&scan);
    cr_expect_eq(scan.notes, 2);
    cr_expect_leq(scan.checkpoints, 3);
    expect_no_fall();
}

static int
all_have_read(cluster_t *unused, void *user)
{
    const json_int_t *head = user;
    int read = 0;

    for (int i = 0; i < ROUTERS; i++) {
        json_t *status = cluster_status(cluster, i);
        const json_t *config = json_object_get(status, "config");

        read += json_integer_value(json_object_get(config, "next_offset")) >=
                *head;
        json_decref(status);
    }
    return read == ROUTERS;
}

Test(kept, and_a_corrupted_record_is_skipped_by_all)
{
    scan_t scan;
    json_int_t head;

    wait_checkpoint(&scan);
    cluster_set_faults(cluster->platform, "{\"corrupt_next\":1}");
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, NULL), 0);
    scan_log(&scan);
    cr_expect_eq(scan.notes, 1, "the record must be corrupt");
    head = (json_int_t)scan.head;
    cr_assert(cluster_wait(cluster, all_have_read, &head));
    expect_all_at(1);
    cr_expect_eq(
        cluster_publish_at(cluster, "withdraw", 1, withdraw, "in_force"), 0);
    expect_all_at(REVISION);
    expect_no_fall();
}

Test(kept, and_a_lost_acknowledgement_makes_no_second_note)
{
    scan_t scan;

    cluster_set_faults(cluster->platform, "{\"drop_acks\":2}");
    publish_withdrawal();
    scan_log(&scan);
    cr_expect_eq(scan.notes, 4, "first, and three appends of the second");
    expect_all_at(REVISION);
    expect_no_fall();
}
