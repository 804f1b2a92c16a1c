/** @file control.c @brief Runs the control thread and its timers. */
#include "bill_link.h"
#include "checkpoint.h"
#include "clock.h"
#include "event.h"
#include "journal_link.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"
#include "rating_link.h"
#include "router_state.h"
#include "usage_link.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define SERVING_PERIOD_US (50 * PPS_US_PER_MS)
#define STATUS_PERIOD_US (100 * PPS_US_PER_MS)
#define BILLS_PERIOD_US (100 * PPS_US_PER_MS)
#define RATINGS_PERIOD_US (500 * PPS_US_PER_MS)
#define JOURNAL_PERIOD_US PPS_US_PER_S
#define CHECKPOINT_PERIOD_US (250 * PPS_US_PER_MS)
#define SNAPSHOT_REQUEST_INTERVAL_US (200 * PPS_US_PER_MS)
#define REPORTS_MAX PPS_HOSTS_MAX

/** Message kinds between routers. */
enum {
    KIND_SNAPSHOT_REQUEST = PPS_PEERS_KIND_FIRST,
    KIND_SNAPSHOT,
};

static void
publish_peer_status(pps_router_t *router, const pps_serving_verdict_t *verdict)
{
    pps_peers_status_t status = {
        .revision =
            pps_catalog_revision(pps_config_fold_catalog(router->config.fold)),
        .next_offset = pps_config_fold_next(router->config.fold),
        .evidence_us = verdict->evidence_us,
        .synced = verdict->synced,
        .leaving = atomic_load(&router->draining)};

    pps_peers_set_status(router->peers, &status);
}

/* Records no change of the reason alone, since it changes often. */
static void
record_serving_change(pps_router_t *router, int could)
{
    int64_t now = pps_clock_now_us();
    int can = pps_serving_may_start(&router->serving, now);
    const char *reason = pps_serving_reason(&router->serving, now);

    if (could == can) {
        return;
    }
    pps_event_record("serving", PPS_FIELDS(PPS_INT("allowed", can),
                                           PPS_STR("reason", reason)));
    pps_logger_write(
        PPS_LOG_INFO, "serving",
        PPS_FIELDS(PPS_INT("allowed", can), PPS_STR("reason", reason)));
}

void
pps_control_evaluate(pps_router_t *router)
{
    static pps_host_report_t reports[REPORTS_MAX];
    pps_serving_input_t input = PPS_SERVING_INPUT_INIT;
    pps_serving_verdict_t verdict;
    int64_t now = pps_clock_now_us();
    int could = router->could_serve;

    input.self_id = router->settings.host_id;
    input.next_offset = pps_config_fold_next(router->config.fold);
    input.synced = router->synced;
    input.started_us = router->started_us;
    input.read_sent_us = router->config.read_sent_us;
    input.read_head = router->config.read_head;
    input.hosts = &router->hosts;
    input.reports = reports;
    input.report_count =
        pps_peers_copy_reports(router->peers, reports, REPORTS_MAX);
    input.window_us = router->settings.freshness_ms * PPS_US_PER_MS;
    input.now_us = now;
    if (pps_serving_evaluate(&verdict, &input) < 0) {
        return;
    }
    router->synced = verdict.synced;
    pps_serving_publish(&router->serving, &verdict);
    publish_peer_status(router, &verdict);
    record_serving_change(router, could);
    router->could_serve =
        pps_serving_may_start(&router->serving, pps_clock_now_us());
}

static void
send_snapshot(pps_router_t *router, const char *to)
{
    void *payload;
    size_t size;

    if (pps_config_fold_checkpoint(router->config.fold, &payload, &size) < 0) {
        return;
    }
    pps_peers_send(router->peers, to, KIND_SNAPSHOT, payload, size);
    free(payload);
}

static int
dispatch_message(pps_router_t *router, const char *from, uint32_t kind,
                 const void *payload, size_t size)
{
    int error = pps_bill_link_receive(router, from, kind, payload, size);

    if (error == PPS_ENOTFOUND) {
        error = pps_rating_link_receive(router, kind, payload, size);
    }
    if (error == PPS_ENOTFOUND) {
        error = pps_usage_link_receive(router, from, kind, payload, size);
    }
    return error;
}

static int
on_message(void *user, const char *from, uint64_t from_incarnation,
           uint32_t kind, const void *payload, size_t size)
{
    pps_router_t *router = user;
    uint64_t offset = pps_config_fold_next(router->config.fold);

    switch (kind) {
    case KIND_SNAPSHOT_REQUEST:
        send_snapshot(router, from);
        return PPS_OK;
    case KIND_SNAPSHOT:
        if (pps_config_feed_adopt(&router->config, payload, size) > 0) {
            pps_control_config_changed(router, offset);
            pps_control_evaluate(router);
        }
        return PPS_OK;
    default:
        return dispatch_message(router, from, kind, payload, size);
    }
}

/* Requests a snapshot from a peer that has more records, whether or not
 * the log is available. */
static void
on_report(void *user, const pps_host_report_t *report)
{
    pps_router_t *router = user;
    int64_t now = pps_clock_now_us();

    if (report->status.next_offset >
            pps_config_fold_next(router->config.fold) &&
        now - router->snapshot_requested_us > SNAPSHOT_REQUEST_INTERVAL_US) {
        router->snapshot_requested_us = now;
        pps_peers_send(router->peers, report->id, KIND_SNAPSHOT_REQUEST, "",
                       0);
    }
    pps_control_evaluate(router);
}

static void
on_serving_timer(int64_t now_us, void *user)
{
    pps_control_evaluate(user);
}

static void
on_status_timer(int64_t now_us, void *user)
{
    pps_status_publish(user, 0);
}

static void
on_bills_timer(int64_t now_us, void *user)
{
    pps_bill_link_tick(user);
}

static void
on_pools_timer(int64_t now_us, void *user)
{
    pps_usage_link_tick(user, now_us);
}

static void
on_ratings_timer(int64_t now_us, void *user)
{
    pps_rating_link_tick(user);
}

static void
on_journal_timer(int64_t now_us, void *user)
{
    pps_router_t *router = user;

    pps_journal_link_tick(router);
    if (pps_journal_checkpoint_due(router->journal)) {
        pps_journal_checkpoint(router->journal);
    }
}

static void
on_checkpoint_timer(int64_t now_us, void *user)
{
    pps_checkpoint_tick(user, now_us);
}

static void
on_tick(uv_timer_t *tick)
{
    pps_router_t *router = tick->data;

    pps_timers_run(&router->timers, pps_clock_now_us());
}

static void *
run_control(void *user)
{
    pps_router_t *router = user;

    pthread_setname_np(pthread_self(), "pps-control");
    uv_run(&router->loop, UV_RUN_DEFAULT);
    return NULL;
}

static int
open_peers(pps_router_t *router)
{
    static const pps_peers_callbacks_t callbacks = {on_message, on_report};
    pps_peers_options_t options = PPS_PEERS_OPTIONS_INIT;
    int error;

    options.loop = &router->loop;
    options.timers = &router->timers;
    options.self_id = router->settings.host_id;
    options.incarnation = router->incarnation;
    options.address = router->settings.address;
    options.port = (uint16_t)router->settings.peer_port;
    memcpy(options.key, router->settings.peer_key, sizeof(options.key));
    options.seed = pps_rng_system_seed();
    options.callbacks = &callbacks;
    options.user = router;
    error = pps_peers_new(&router->peers, &options);
    if (error == 0) {
        router->peer_port = pps_peers_port(router->peers);
    }
    return error;
}

int
pps_control_start(pps_router_t *router)
{
    int64_t now = pps_clock_now_us();
    int error;

    router->started_us = now;
    uv_loop_init(&router->loop);
    uv_timer_init(&router->loop, &router->tick);
    router->tick.data = router;
    pps_timers_init(&router->timers);
    error = pps_mailbox_open(&router->mailbox, &router->loop);
    if (error == 0) {
        error = open_peers(router);
    }
    if (error < 0) {
        return error;
    }
    pps_timers_subscribe(&router->timers, &router->serving_timer, now,
                         SERVING_PERIOD_US, on_serving_timer, router);
    pps_timers_subscribe(&router->timers, &router->journal_timer, now,
                         JOURNAL_PERIOD_US, on_journal_timer, router);
    pps_timers_subscribe(&router->timers, &router->checkpoint_timer, now,
                         CHECKPOINT_PERIOD_US, on_checkpoint_timer, router);
    pps_timers_subscribe(&router->timers, &router->status_timer, now,
                         STATUS_PERIOD_US, on_status_timer, router);
    pps_timers_subscribe(&router->timers, &router->pool_timer, now,
                         PPS_ADMISSION_PERIOD_US, on_pools_timer, router);
    pps_timers_subscribe(&router->timers, &router->rating_timer, now,
                         RATINGS_PERIOD_US, on_ratings_timer, router);
    pps_timers_subscribe(&router->timers, &router->bills_timer, now,
                         BILLS_PERIOD_US, on_bills_timer, router);
    uv_timer_start(&router->tick, on_tick, 0, TICK_MS);
    error = pps_control_open_feeds(router);
    if (error < 0) {
        return error;
    }
    if (pthread_create(&router->control, NULL, run_control, router) != 0) {
        return pps_error_set(PPS_EIO,
                             "the control thread could not be started");
    }
    router->control_running = 1;
    return PPS_OK;
}

static void
close_loop(void *user)
{
    pps_router_t *router = user;

    pps_peers_close(router->peers, NULL, NULL);
    uv_timer_stop(&router->tick);
    uv_close((uv_handle_t *)&router->tick, NULL);
    pps_mailbox_close(&router->mailbox);
}

void
pps_control_stop(pps_router_t *router)
{
    pps_platform_feed_free(router->platform);
    pps_log_reader_free(router->config.reader);
    pps_log_reader_free(router->work.reader);
    if (router->control_running) {
        pps_mailbox_post(&router->mailbox, close_loop, router);
        pthread_join(router->control, NULL);
        uv_loop_close(&router->loop);
    }
}
