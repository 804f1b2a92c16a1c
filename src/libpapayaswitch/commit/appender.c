/** @file appender.c @brief Group commit: one thread, one append at a time. */
#include "papayaswitch/appender.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "wait.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/** A record in the queue. */
typedef struct {
    struct cds_list_head node;
    void *data;
    size_t size;
    int64_t deadline_us;
    pps_appender_done_t done;
    void *user;
} item_t;

/** The records of one append. */
typedef struct {
    struct cds_list_head items;
    size_t count;
    size_t bytes;
} batch_t;

struct pps_appender {
    pps_log_backend_t *backend;
    char *stream;
    pps_appender_options_t options;
    pthread_t thread;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    struct cds_list_head queue;
    size_t queued;
    int closing;
    int64_t append_began_us; /**< 0: none under way */
    pps_appender_stats_t stats;
};

static void
finish_item(item_t *item, int result, uint64_t offset)
{
    cds_list_del(&item->node);
    if (item->done != NULL) {
        item->done(result, offset, item->user);
    }
    free(item->data);
    free(item);
}

static void
batch_init(batch_t *batch)
{
    CDS_INIT_LIST_HEAD(&batch->items);
    batch->count = 0;
    batch->bytes = 0;
}

static void
batch_add(batch_t *batch, item_t *item)
{
    cds_list_del(&item->node);
    cds_list_add_tail(&item->node, &batch->items);
    batch->count++;
    batch->bytes += item->size;
}

static void
take_batch(pps_appender_t *appender, batch_t *batch, batch_t *late)
{
    int64_t now_us = pps_clock_now_us();
    item_t *item;
    item_t *following;

    cds_list_for_each_entry_safe (item, following, &appender->queue, node) {
        if (batch->count > 0 &&
            batch->bytes + item->size > appender->options.batch_bytes) {
            break;
        }
        batch_add(item->deadline_us <= now_us ? late : batch, item);
        appender->queued--;
    }
}

static int
append_batch(pps_appender_t *appender, const batch_t *batch, uint64_t *first)
{
    pps_log_blob_t *blobs = calloc(batch->count, sizeof(*blobs));
    item_t *item;
    size_t i = 0;
    int error;

    if (blobs == NULL) {
        return PPS_EUNAVAILABLE;
    }
    cds_list_for_each_entry (item, &batch->items, node) {
        blobs[i].data = item->data;
        blobs[i].size = item->size;
        i++;
    }
    error = appender->backend->append(appender->backend, appender->stream,
                                      blobs, batch->count, first);
    free(blobs);
    return error;
}

/* Any answer but these two leaves open whether the records were written. */
static int
settle_result(int error)
{
    return error == 0 || error == PPS_EUNAVAILABLE ? error : PPS_EUNKNOWN;
}

static void
finish_batch(batch_t *batch, int result, uint64_t first)
{
    item_t *item;
    item_t *following;

    cds_list_for_each_entry_safe (item, following, &batch->items, node) {
        finish_item(item, result, first);
        first++;
    }
}

static void
wait_for_turn(pps_appender_t *appender, int64_t next_us)
{
    while (cds_list_empty(&appender->queue) && !appender->closing) {
        pthread_cond_wait(&appender->changed, &appender->mutex);
    }
    while (!appender->closing && pps_clock_now_us() < next_us) {
        pps_wait_until(&appender->changed, &appender->mutex, next_us);
    }
}

static void
run_once(pps_appender_t *appender)
{
    batch_t batch;
    batch_t late;
    uint64_t first = 0;
    int result = PPS_OK;

    batch_init(&batch);
    batch_init(&late);
    take_batch(appender, &batch, &late);
    appender->append_began_us = pps_clock_now_us();
    pthread_mutex_unlock(&appender->mutex);
    finish_batch(&late, PPS_EUNAVAILABLE, 0);
    if (batch.count > 0) {
        result = settle_result(append_batch(appender, &batch, &first));
    }
    finish_batch(&batch, result, first);
    pthread_mutex_lock(&appender->mutex);
    appender->append_began_us = 0;
    appender->stats.appends += batch.count > 0;
    appender->stats.records += batch.count;
    appender->stats.failed += (result < 0 ? batch.count : 0) + late.count;
}

static void *
run(void *user)
{
    pps_appender_t *appender = user;
    int64_t next_us = 0;

    pthread_mutex_lock(&appender->mutex);
    for (;;) {
        wait_for_turn(appender, next_us);
        if (cds_list_empty(&appender->queue)) {
            break;
        }
        next_us = pps_clock_now_us() + appender->options.interval_us;
        run_once(appender);
    }
    pthread_mutex_unlock(&appender->mutex);
    return NULL;
}

static int
check_options(const pps_appender_options_t *options)
{
    if (options->version != PPS_APPENDER_OPTIONS_VERSION) {
        return pps_error_set(PPS_EINVALID, "appender options: version %u",
                             options->version);
    }
    return PPS_OK;
}

int
pps_appender_new(pps_appender_t **out, pps_log_backend_t *backend,
                 const char *stream, const pps_appender_options_t *options)
{
    pps_appender_options_t usual = PPS_APPENDER_OPTIONS_INIT;
    pps_appender_t *appender;

    if (options == NULL) {
        options = &usual;
    }
    if (check_options(options) < 0) {
        return PPS_EINVALID;
    }
    appender = calloc(1, sizeof(*appender));
    if (appender == NULL) {
        return pps_error_set(PPS_ENOMEM, "appender: out of memory");
    }
    appender->stream = strdup(stream);
    if (appender->stream == NULL) {
        free(appender);
        return pps_error_set(PPS_ENOMEM, "appender: out of memory");
    }
    appender->backend = backend;
    appender->options = *options;
    CDS_INIT_LIST_HEAD(&appender->queue);
    pthread_mutex_init(&appender->mutex, NULL);
    pps_wait_cond_init(&appender->changed);
    if (pthread_create(&appender->thread, NULL, run, appender) != 0) {
        pthread_cond_destroy(&appender->changed);
        pthread_mutex_destroy(&appender->mutex);
        free(appender->stream);
        free(appender);
        return pps_error_set(PPS_EIO, "appender: no thread");
    }
    *out = appender;
    return PPS_OK;
}

void
pps_appender_free(pps_appender_t *appender)
{
    if (appender == NULL) {
        return;
    }
    pthread_mutex_lock(&appender->mutex);
    appender->closing = 1;
    pthread_cond_signal(&appender->changed);
    pthread_mutex_unlock(&appender->mutex);
    pthread_join(appender->thread, NULL);
    pthread_cond_destroy(&appender->changed);
    pthread_mutex_destroy(&appender->mutex);
    free(appender->stream);
    free(appender);
}

static int
may_queue(const pps_appender_t *appender)
{
    if (appender->closing) {
        return PPS_ECLOSED;
    }
    if (appender->append_began_us != 0 &&
        pps_clock_now_us() - appender->append_began_us >
            appender->options.stall_us) {
        return PPS_EUNAVAILABLE;
    }
    return appender->queued >= appender->options.queue_max ? PPS_ELIMIT
                                                           : PPS_OK;
}

int
pps_appender_submit(pps_appender_t *appender, void *data, size_t size,
                    int64_t deadline_us, pps_appender_done_t done, void *user)
{
    item_t *item = calloc(1, sizeof(*item));
    int error;

    if (item == NULL) {
        return pps_error_set(PPS_ENOMEM, "appender: out of memory");
    }
    item->data = data;
    item->size = size;
    item->deadline_us = deadline_us;
    item->done = done;
    item->user = user;
    pthread_mutex_lock(&appender->mutex);
    error = may_queue(appender);
    if (error == 0) {
        cds_list_add_tail(&item->node, &appender->queue);
        appender->queued++;
        pthread_cond_signal(&appender->changed);
    }
    pthread_mutex_unlock(&appender->mutex);
    if (error < 0) {
        free(item);
        return pps_error_set(error, "appender: %s", pps_error_name(error));
    }
    return PPS_OK;
}

void
pps_appender_stats(pps_appender_t *appender, pps_appender_stats_t *out)
{
    pthread_mutex_lock(&appender->mutex);
    *out = appender->stats;
    pthread_mutex_unlock(&appender->mutex);
}
