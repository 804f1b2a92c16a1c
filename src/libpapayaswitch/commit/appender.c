/** @file appender.c @brief Batches records into appends. */
#include "papayaswitch/appender.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "wait.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/** A record that waits for its append. */
typedef struct {
    struct cds_list_head node;
    void *data;
    size_t size;
    int64_t deadline_us;
    pps_appender_done_t done;
    void *user;
} queued_record_t;

/** Records taken from the queue. */
typedef struct {
    struct cds_list_head records;
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
    int64_t append_started_us; /**< 0: none in progress */
    pps_appender_stats_t stats;
};

static void
complete_record(queued_record_t *record, int result, uint64_t offset)
{
    cds_list_del(&record->node);
    if (record->done != NULL) {
        record->done(result, offset, record->user);
    }
    free(record->data);
    free(record);
}

static void
batch_init(batch_t *batch)
{
    CDS_INIT_LIST_HEAD(&batch->records);
    batch->count = 0;
    batch->bytes = 0;
}

static void
batch_add(batch_t *batch, queued_record_t *record)
{
    cds_list_del(&record->node);
    cds_list_add_tail(&record->node, &batch->records);
    batch->count++;
    batch->bytes += record->size;
}

static void
take_batch(pps_appender_t *appender, batch_t *batch, batch_t *expired)
{
    int64_t now_us = pps_clock_now_us();
    queued_record_t *record;
    queued_record_t *next;

    cds_list_for_each_entry_safe (record, next, &appender->queue, node) {
        if (batch->count > 0 &&
            batch->bytes + record->size > appender->options.batch_bytes) {
            break;
        }
        batch_add(record->deadline_us <= now_us ? expired : batch, record);
        appender->queued--;
    }
}

static int
append_batch(pps_appender_t *appender, const batch_t *batch, uint64_t *first)
{
    pps_log_blob_t *blobs = calloc(batch->count, sizeof(*blobs));
    queued_record_t *record;
    size_t i = 0;
    int error;

    if (blobs == NULL) {
        return PPS_EUNAVAILABLE;
    }
    cds_list_for_each_entry (record, &batch->records, node) {
        blobs[i].data = record->data;
        blobs[i].size = record->size;
        i++;
    }
    error = appender->backend->append(appender->backend, appender->stream,
                                      blobs, batch->count, first);
    free(blobs);
    return error;
}

/* After any error except PPS_EUNAVAILABLE the records may be written. */
static int
classify_append_error(int error)
{
    return error == 0 || error == PPS_EUNAVAILABLE ? error : PPS_EUNKNOWN;
}

static void
complete_batch(batch_t *batch, int result, uint64_t first)
{
    queued_record_t *record;
    queued_record_t *next;

    cds_list_for_each_entry_safe (record, next, &batch->records, node) {
        complete_record(record, result, first);
        first++;
    }
}

static void
wait_until_append_due(pps_appender_t *appender, int64_t next_us)
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
    batch_t expired;
    uint64_t first = 0;
    int result = PPS_OK;

    batch_init(&batch);
    batch_init(&expired);
    take_batch(appender, &batch, &expired);
    appender->append_started_us = pps_clock_now_us();
    pthread_mutex_unlock(&appender->mutex);
    complete_batch(&expired, PPS_EUNAVAILABLE, 0);
    if (batch.count > 0) {
        result = classify_append_error(append_batch(appender, &batch, &first));
    }
    complete_batch(&batch, result, first);
    pthread_mutex_lock(&appender->mutex);
    appender->append_started_us = 0;
    appender->stats.appends += batch.count > 0;
    appender->stats.records += batch.count;
    appender->stats.failed += (result < 0 ? batch.count : 0) + expired.count;
}

static void *
run(void *user)
{
    pps_appender_t *appender = user;
    int64_t next_us = 0;

    pthread_mutex_lock(&appender->mutex);
    for (;;) {
        wait_until_append_due(appender, next_us);
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
        return pps_error_set(PPS_EINVALID,
                             "appender options: version %u is not supported",
                             options->version);
    }
    return PPS_OK;
}

int
pps_appender_new(pps_appender_t **out, pps_log_backend_t *backend,
                 const char *stream, const pps_appender_options_t *options)
{
    pps_appender_options_t defaults = PPS_APPENDER_OPTIONS_INIT;
    pps_appender_t *appender;

    if (options == NULL) {
        options = &defaults;
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
        return pps_error_set(PPS_EIO,
                             "appender: the thread cannot be started");
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
check_can_queue(const pps_appender_t *appender)
{
    if (appender->closing) {
        return PPS_ECLOSED;
    }
    if (appender->append_started_us != 0 &&
        pps_clock_now_us() - appender->append_started_us >
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
    queued_record_t *record = calloc(1, sizeof(*record));
    int error;

    if (record == NULL) {
        return pps_error_set(PPS_ENOMEM, "appender: out of memory");
    }
    record->data = data;
    record->size = size;
    record->deadline_us = deadline_us;
    record->done = done;
    record->user = user;
    pthread_mutex_lock(&appender->mutex);
    error = check_can_queue(appender);
    if (error == 0) {
        cds_list_add_tail(&record->node, &appender->queue);
        appender->queued++;
        pthread_cond_signal(&appender->changed);
    }
    pthread_mutex_unlock(&appender->mutex);
    if (error < 0) {
        free(record);
        return pps_error_set(error, "appender: record not queued: %s",
                             pps_error_name(error));
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
