/** @file log_reader.c @brief Reads a stream by long polling on a thread. */
#include "papayaswitch/log_reader.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define READ_RECORDS_MAX 512
#define RETRY_DELAY_US (200 * PPS_US_PER_MS)

struct pps_log_reader {
    pps_log_reader_options_t options;
    pthread_t thread;
    pthread_mutex_t lock;
    uint64_t next_offset;
    uint64_t seek_count;
    atomic_int stopping;
};

static int
copy_entry(const pps_log_entry_t *entry, void *user)
{
    pps_log_batch_t *batch = user;
    pps_log_entry_t *entries;
    void *data = malloc(entry->size + 1);

    entries =
        realloc(batch->entries, (batch->count + 1) * sizeof(*batch->entries));
    if (entries != NULL) {
        batch->entries = entries;
    }
    if (entries == NULL || data == NULL) {
        free(data);
        return PPS_ENOMEM;
    }
    memcpy(data, entry->data, entry->size);
    batch->entries[batch->count] = *entry;
    batch->entries[batch->count].data = data;
    batch->count++;
    return 0;
}

void
pps_log_batch_free(pps_log_batch_t *batch)
{
    if (batch == NULL) {
        return;
    }
    for (size_t i = 0; i < batch->count; i++) {
        free((void *)batch->entries[i].data);
    }
    free(batch->entries);
    free(batch);
}

/* Sets the offset of the next read. The records of a failed read are read
 * again; a seek during the read overrides the offset that follows its records.
 */
static void
advance(pps_log_reader_t *reader, const pps_log_batch_t *batch,
        uint64_t seek_count)
{
    pthread_mutex_lock(&reader->lock);
    if (batch->error == 0 && reader->seek_count == seek_count &&
        batch->count > 0) {
        reader->next_offset = batch->entries[batch->count - 1].offset + 1;
    }
    pthread_mutex_unlock(&reader->lock);
}

static void
read_once(pps_log_reader_t *reader)
{
    const pps_log_reader_options_t *options = &reader->options;
    pps_log_batch_t *batch = calloc(1, sizeof(*batch));
    uint64_t from;
    uint64_t seek_count;
    int failed;

    if (batch == NULL) {
        pps_clock_sleep_us(RETRY_DELAY_US);
        return;
    }
    pthread_mutex_lock(&reader->lock);
    from = reader->next_offset;
    seek_count = reader->seek_count;
    pthread_mutex_unlock(&reader->lock);
    batch->sent_us = pps_clock_now_us();
    batch->error = options->backend->read(
        options->backend, options->stream, from, READ_RECORDS_MAX,
        options->wait_ms, copy_entry, batch, &batch->range);
    failed = batch->error < 0;
    advance(reader, batch, seek_count);
    options->deliver(batch, options->user);
    if (failed && !atomic_load(&reader->stopping)) {
        pps_clock_sleep_us(RETRY_DELAY_US);
    }
}

static void *
run(void *user)
{
    pps_log_reader_t *reader = user;

    while (!atomic_load(&reader->stopping)) {
        read_once(reader);
    }
    return NULL;
}

int
pps_log_reader_new(pps_log_reader_t **out,
                   const pps_log_reader_options_t *options)
{
    pps_log_reader_t *reader = calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return pps_error_set(PPS_ENOMEM, "log reader: out of memory");
    }
    reader->options = *options;
    reader->next_offset = options->from;
    pthread_mutex_init(&reader->lock, NULL);
    if (pthread_create(&reader->thread, NULL, run, reader) != 0) {
        pthread_mutex_destroy(&reader->lock);
        free(reader);
        return pps_error_set(PPS_EIO,
                             "log reader: the thread cannot be started");
    }
    *out = reader;
    return PPS_OK;
}

void
pps_log_reader_seek(pps_log_reader_t *reader, uint64_t offset)
{
    pthread_mutex_lock(&reader->lock);
    reader->next_offset = offset;
    reader->seek_count++;
    pthread_mutex_unlock(&reader->lock);
}

void
pps_log_reader_free(pps_log_reader_t *reader)
{
    if (reader == NULL) {
        return;
    }
    atomic_store(&reader->stopping, 1);
    pthread_join(reader->thread, NULL);
    pthread_mutex_destroy(&reader->lock);
    free(reader);
}
