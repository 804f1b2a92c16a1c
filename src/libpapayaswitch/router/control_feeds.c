/** @file control_feeds.c @brief Applies the data that the feeds read. */
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

#define LOG_WAIT_MS 500

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

void
pps_control_config_changed(pps_router_t *router, uint64_t from)
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
apply_config(void *user)
{
    delivery_t *delivery = user;
    pps_router_t *router = delivery->router;
    uint64_t from = pps_config_fold_next(router->config.fold);
    int changed = pps_config_feed_apply(&router->config, delivery->batch);

    pps_bills_set_log_reachable(router->bills,
                                delivery->batch->error != PPS_EUNAVAILABLE);
    if (changed > 0) {
        pps_control_config_changed(router, from);
    }
    pps_control_evaluate(router);
    pps_log_batch_free(delivery->batch);
    free(delivery);
}

static void
apply_work(void *user)
{
    delivery_t *delivery = user;

    pps_work_feed_apply(&delivery->router->work, delivery->batch);
    pps_log_batch_free(delivery->batch);
    free(delivery);
}

static void
deliver(pps_router_t *router, pps_log_batch_t *batch, void (*apply)(void *))
{
    delivery_t *delivery = malloc(sizeof(*delivery));

    if (delivery == NULL) {
        pps_log_batch_free(batch);
        return;
    }
    delivery->router = router;
    delivery->batch = batch;
    if (pps_mailbox_post(&router->mailbox, apply, delivery) < 0) {
        pps_log_batch_free(batch);
        free(delivery);
    }
}

static void
deliver_config(pps_log_batch_t *batch, void *user)
{
    deliver(user, batch, apply_config);
}

static void
deliver_work(pps_log_batch_t *batch, void *user)
{
    deliver(user, batch, apply_work);
}

typedef struct {
    pps_router_t *router;
    json_t *list;
} list_delivery_t;

/* Compares hashes, since most reads of the list repeat the last one. */
static int
is_worker_list_changed(pps_router_t *router, const char *workers)
{
    uint64_t digest = XXH64(workers, strlen(workers), 0);
    int is_changed = digest != router->workers_digest;

    router->workers_digest = digest;
    return is_changed;
}

/* Logs entries that were left out, once for each change of the list. */
static void
log_skipped(size_t skipped)
{
    if (skipped > 0) {
        pps_logger_write(PPS_LOG_WARN, "workers_skipped",
                         PPS_FIELDS(PPS_INT("entries", skipped)));
    }
}

static void
apply_list(void *user)
{
    list_delivery_t *delivery = user;
    json_t *list = delivery->list;
    pps_router_t *router = delivery->router;
    pps_worker_view_t *previous = pps_worker_registry_acquire(router->workers);
    pps_worker_view_t *view;
    pps_host_list_t hosts;
    size_t skipped = 0;
    char *workers = json_dumps(json_object_get(list, "workers"), 0);

    if (workers != NULL && is_worker_list_changed(router, workers) &&
        pps_worker_view_decode(&view, previous, workers, strlen(workers),
                               &skipped) == 0) {
        log_skipped(skipped);
        pps_worker_registry_replace(router->workers, view);
    }
    if (pps_host_list_from_json(&hosts, json_object_get(list, "entries")) ==
        0) {
        pps_host_list_clear(&router->hosts);
        router->hosts = hosts;
        pps_peers_set_hosts(router->peers, &router->hosts);
    }
    free(workers);
    pps_worker_view_free(previous);
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
        if (pps_mailbox_post(&router->mailbox, apply_list, delivery) == 0) {
            return;
        }
        free(delivery);
    }
    json_decref(list);
}

static void
deliver_ratings(const json_t *ratings, void *user)
{
    pps_rating_link_add(user, ratings);
}

int
pps_control_open_feeds(pps_router_t *router)
{
    pps_log_reader_options_t reader = PPS_LOG_READER_OPTIONS_INIT;
    pps_platform_feed_options_t platform = {.url =
                                                router->settings.platform_url,
                                            .workers = router->workers,
                                            .on_list = deliver_list,
                                            .on_ratings = deliver_ratings,
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
