/** @file control.c @brief The control thread: loop, timers, peers, feeds. */
#include "bill_link.h"
#include "clock.h"
#include "event.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"
#include "rating_link.h"
#include "router_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define TICK_MS 20
#define SERVING_PERIOD_US (50 * PPS_US_PER_MS)
#define STATUS_PERIOD_US (100 * PPS_US_PER_MS)
#define BILLS_PERIOD_US (100 * PPS_US_PER_MS)
#define RATINGS_PERIOD_US (500 * PPS_US_PER_MS)
#define JOURNAL_PERIOD_US PPS_US_PER_S
#define CHECKPOINT_PERIOD_US (5 * PPS_US_PER_S)
#define CHECKPOINT_RECORDS 256
#define SNAPSHOT_PAUSE_US (200 * PPS_US_PER_MS)
#define REPORTS_MAX PPS_HOSTS_MAX
#define LOG_WAIT_MS 500

/** Kinds of message between routers. */
enum {
    KIND_SNAPSHOT_WANTED = PPS_PEERS_KIND_FIRST,
    KIND_SNAPSHOT,
};

static void
tell_peers(pps_router_t *router, const pps_serving_verdict_t *verdict)
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

/* Which evidence carries the right changes often; having it or not does not.
 */
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
    input.read_sent_us = router->config.read_sent_us;
    input.read_head = router->config.read_head;
    input.hosts = &router->hosts;
    input.reports = reports;
    input.report_count =
        pps_peers_reports(router->peers, reports, REPORTS_MAX);
    input.window_us = router->settings.freshness_ms * PPS_US_PER_MS;
    input.now_us = now;
    if (pps_serving_evaluate(&verdict, &input) < 0) {
        return;
    }
    router->synced = verdict.synced;
    pps_serving_publish(&router->serving, &verdict);
    tell_peers(router, &verdict);
    record_serving_change(router, could);
    router->could_serve =
        pps_serving_may_start(&router->serving, pps_clock_now_us());
}

static int
log_verdict(const pps_note_verdict_t *verdict, void *user)
{
    const uint64_t *from = user;

    if (verdict->offset < *from) {
        return 0;
    }
    pps_event_record(verdict->accepted ? "note_accepted" : "note_rejected",
                     PPS_FIELDS(PPS_STR("note", verdict->id),
                                PPS_INT("offset", verdict->offset),
                                PPS_INT("revision", verdict->revision),
                                PPS_STR("reason", verdict->reason)));
    pps_logger_write(PPS_LOG_INFO,
                     verdict->accepted ? "note_accepted" : "note_rejected",
                     PPS_FIELDS(PPS_STR("note", verdict->id),
                                PPS_INT("revision", verdict->revision)));
    return 0;
}

static void
config_changed(pps_router_t *router, uint64_t from)
{
    pps_config_fold_verdict_foreach(router->config.fold, log_verdict, &from);
    pps_router_set_catalog(router,
                           pps_config_fold_catalog(router->config.fold));
    pps_status_publish(router, 1);
}

typedef struct {
    pps_router_t *router;
    pps_log_batch_t *batch;
} delivery_t;

static void
take_config(void *user)
{
    delivery_t *delivery = user;
    pps_router_t *router = delivery->router;
    uint64_t from = pps_config_fold_next(router->config.fold);
    int changed = pps_config_feed_take(&router->config, delivery->batch);

    pps_bills_set_log(router->bills,
                      delivery->batch->error != PPS_EUNAVAILABLE);
    if (changed > 0) {
        config_changed(router, from);
    }
    pps_control_evaluate(router);
    pps_log_batch_free(delivery->batch);
    free(delivery);
}

static void
take_work(void *user)
{
    delivery_t *delivery = user;

    pps_work_feed_take(&delivery->router->work, delivery->batch);
    pps_log_batch_free(delivery->batch);
    free(delivery);
}

static void
deliver(pps_router_t *router, pps_log_batch_t *batch, void (*take)(void *))
{
    delivery_t *delivery = malloc(sizeof(*delivery));

    if (delivery == NULL) {
        pps_log_batch_free(batch);
        return;
    }
    delivery->router = router;
    delivery->batch = batch;
    if (pps_mailbox_post(&router->mailbox, take, delivery) < 0) {
        pps_log_batch_free(batch);
        free(delivery);
    }
}

static void
deliver_config(pps_log_batch_t *batch, void *user)
{
    deliver(user, batch, take_config);
}

static void
deliver_work(pps_log_batch_t *batch, void *user)
{
    deliver(user, batch, take_work);
}

static void
answer_snapshot(pps_router_t *router, const char *to)
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
on_message(void *user, const char *from, uint64_t from_incarnation,
           uint32_t kind, const void *payload, size_t size)
{
    pps_router_t *router = user;
    uint64_t offset = pps_config_fold_next(router->config.fold);

    switch (kind) {
    case KIND_SNAPSHOT_WANTED:
        answer_snapshot(router, from);
        return PPS_OK;
    case KIND_SNAPSHOT:
        if (pps_config_feed_adopt(&router->config, payload, size) > 0) {
            config_changed(router, offset);
            pps_control_evaluate(router);
        }
        return PPS_OK;
    default:
        return pps_bill_link_receive(router, from, kind, payload, size) == 0
                   ? PPS_OK
                   : pps_rating_link_receive(router, kind, payload, size);
    }
}

/* A peer that knows more of the log is asked for its state, log or no log. */
static void
on_report(void *user, const pps_host_report_t *report)
{
    pps_router_t *router = user;
    int64_t now = pps_clock_now_us();

    if (report->status.next_offset >
            pps_config_fold_next(router->config.fold) &&
        now - router->snapshot_asked_us > SNAPSHOT_PAUSE_US) {
        router->snapshot_asked_us = now;
        pps_peers_send(router->peers, report->id, KIND_SNAPSHOT_WANTED, "", 0);
    }
    pps_control_evaluate(router);
}

static void
fire_serving(int64_t now_us, void *user)
{
    pps_control_evaluate(user);
}

static void
fire_status(int64_t now_us, void *user)
{
    pps_status_publish(user, 0);
}

static void
fire_bills(int64_t now_us, void *user)
{
    pps_bill_link_tick(user);
}

static void
fire_ratings(int64_t now_us, void *user)
{
    pps_rating_link_tick(user);
}

static void
fire_journal(int64_t now_us, void *user)
{
    pps_router_t *router = user;

    pps_journal_tick(router->journal);
    if (pps_journal_checkpoint_due(router->journal)) {
        pps_journal_checkpoint(router->journal);
    }
}

typedef struct {
    pps_router_t *router;
    void *record;
    size_t size;
} append_job_t;

static void
append_checkpoint(uv_work_t *work)
{
    append_job_t *job = work->data;
    pps_log_blob_t blob = {job->record, job->size};
    uint64_t offset;

    job->router->log->append(job->router->log, PPS_STREAM_CONFIG, &blob, 1,
                             &offset);
}

static void
checkpoint_appended(uv_work_t *work, int status)
{
    append_job_t *job = work->data;

    free(job->record);
    free(job);
    free(work);
}

/*
 * Checkpoints by more than one host are harmless but not free: the host
 * whose turn it is by offset goes first, the others follow a period later.
 */
static int
checkpoint_due(const pps_router_t *router)
{
    uint64_t next = pps_config_fold_next(router->config.fold);

    return !router->config.searching && next > router->config.checkpoint_at &&
           next - router->config.checkpoint_at >= CHECKPOINT_RECORDS;
}

static int
encode_checkpoint(append_job_t *job)
{
    void *payload;
    size_t size;
    int error =
        pps_config_fold_checkpoint(job->router->config.fold, &payload, &size);

    if (error == 0) {
        error = pps_record_encode(&job->record, &job->size,
                                  PPS_RECORD_CONFIG_CHECKPOINT, payload, size);
        free(payload);
    }
    return error;
}

static void
fire_checkpoint(int64_t now_us, void *user)
{
    pps_router_t *router = user;
    append_job_t *job;
    uv_work_t *work;

    if (!checkpoint_due(router)) {
        return;
    }
    job = calloc(1, sizeof(*job));
    work = calloc(1, sizeof(*work));
    if (job == NULL || work == NULL) {
        goto failed;
    }
    job->router = router;
    work->data = job;
    if (encode_checkpoint(job) < 0) {
        goto failed;
    }
    router->config.checkpoint_at = pps_config_fold_next(router->config.fold);
    if (uv_queue_work(&router->loop, work, append_checkpoint,
                      checkpoint_appended) == 0) {
        return;
    }
    free(job->record);

failed:
    free(job);
    free(work);
}

typedef struct {
    pps_router_t *router;
    json_t *list;
} list_delivery_t;

/* Most readings of the list bring what the last one did. */
static int
is_new_list(pps_router_t *router, const char *workers)
{
    uint64_t digest = XXH64(workers, strlen(workers), 0);
    int is_new = digest != router->workers_digest;

    router->workers_digest = digest;
    return is_new;
}

static void
take_list(void *user)
{
    list_delivery_t *delivery = user;
    json_t *list = delivery->list;
    pps_router_t *router = delivery->router;
    pps_worker_view_t *before = pps_worker_board_acquire(router->workers);
    pps_worker_view_t *view;
    pps_host_list_t hosts;
    char *workers = json_dumps(json_object_get(list, "workers"), 0);

    if (workers != NULL && is_new_list(router, workers) &&
        pps_worker_view_decode(&view, before, workers, strlen(workers)) == 0) {
        pps_worker_board_replace(router->workers, view);
    }
    if (pps_host_list_from_json(&hosts, json_object_get(list, "entries")) ==
        0) {
        pps_host_list_clear(&router->hosts);
        router->hosts = hosts;
        pps_peers_set_hosts(router->peers, &router->hosts);
    }
    free(workers);
    pps_worker_view_free(before);
    json_decref(list);
    free(delivery);
}

static void
deliver_list(json_t *list, void *user)
{
    pps_router_t *router = user;
    list_delivery_t *delivery = malloc(sizeof(*delivery));

    if (delivery != NULL) {
        delivery->router = router;
        delivery->list = list;
        if (pps_mailbox_post(&router->mailbox, take_list, delivery) == 0) {
            return;
        }
        free(delivery);
    }
    json_decref(list);
}

static void
deliver_ratings(const json_t *ratings, void *user)
{
    pps_rating_link_take(user, ratings);
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

static int
open_feeds(pps_router_t *router)
{
    pps_log_reader_options_t reader = PPS_LOG_READER_OPTIONS_INIT;
    pps_platform_feed_options_t platform = {.url =
                                                router->settings.platform_url,
                                            .workers = router->workers,
                                            .deliver = deliver_list,
                                            .ratings = deliver_ratings,
                                            .user = router};
    int error;

    reader.backend = router->log;
    reader.wait_ms = LOG_WAIT_MS;
    reader.user = router;
    reader.stream = PPS_STREAM_CONFIG;
    reader.deliver = deliver_config;
    error = pps_log_reader_new(&router->config.reader, &reader);
    if (error == 0) {
        reader.stream = PPS_STREAM_WORK;
        reader.deliver = deliver_work;
        error = pps_log_reader_new(&router->work.reader, &reader);
    }
    if (error == 0) {
        error = pps_platform_feed_new(&router->platform, &platform);
    }
    return error;
}

int
pps_control_start(pps_router_t *router)
{
    int64_t now = pps_clock_now_us();
    int error;

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
                         SERVING_PERIOD_US, fire_serving, router);
    pps_timers_subscribe(&router->timers, &router->journal_timer, now,
                         JOURNAL_PERIOD_US, fire_journal, router);
    pps_timers_subscribe(&router->timers, &router->checkpoint_timer, now,
                         CHECKPOINT_PERIOD_US, fire_checkpoint, router);
    pps_timers_subscribe(&router->timers, &router->status_timer, now,
                         STATUS_PERIOD_US, fire_status, router);
    pps_timers_subscribe(&router->timers, &router->rating_timer, now,
                         RATINGS_PERIOD_US, fire_ratings, router);
    pps_timers_subscribe(&router->timers, &router->bills_timer, now,
                         BILLS_PERIOD_US, fire_bills, router);
    uv_timer_start(&router->tick, on_tick, 0, TICK_MS);
    error = open_feeds(router);
    if (error < 0) {
        return error;
    }
    if (pthread_create(&router->control, NULL, run_control, router) != 0) {
        return pps_error_set(PPS_EIO, "no control thread");
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
