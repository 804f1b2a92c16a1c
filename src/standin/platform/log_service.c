/** @file log_service.c @brief Serialized appends and long-polling reads. */
#include "log_service.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "standin_server.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BASE64 sodium_base64_VARIANT_ORIGINAL

void
log_service_init(log_service_t *log, int appends_per_second,
                 int retain_records, standin_faults_t *faults)
{
    memset(log, 0, sizeof(*log));
    pthread_mutex_init(&log->lock, NULL);
    pthread_cond_init(&log->appended, NULL);
    append_rate_init(&log->rate, appends_per_second, pps_clock_now_us());
    log->retain_records = (uint64_t)retain_records;
    log->faults = faults;
}

void
log_service_clear(log_service_t *log)
{
    log_stream_t *stream = log->streams;

    HASH_CLEAR(hh, log->streams);
    while (stream != NULL) {
        log_stream_t *next = stream->hh.next;

        log_stream_free(stream);
        stream = next;
    }
    pthread_cond_destroy(&log->appended);
    pthread_mutex_destroy(&log->lock);
}

static int
/* NOLINTNEXTLINE(readability-function-size): hash macros */
find_stream(log_service_t *log, log_stream_t **out, const char *name)
{
    int error;

    HASH_FIND_STR(log->streams, name, *out);
    if (*out != NULL) {
        return PPS_OK;
    }
    error = log_stream_new(out, name);
    if (error == 0) {
        HASH_ADD_STR(log->streams, name, *out);
    }
    return error;
}

static int
decode_record(unsigned char **out, size_t *size, const char *text)
{
    size_t length = strlen(text);

    *out = malloc(length + 1);
    if (*out == NULL) {
        return pps_error_set(PPS_ENOMEM, "record: out of memory");
    }
    if (sodium_base642bin(*out, length + 1, text, length, NULL, size, NULL,
                          BASE64) != 0) {
        free(*out);
        return pps_error_set(PPS_EINVALID, "record is not base64");
    }
    return PPS_OK;
}

static int
check_records(const json_t *records)
{
    size_t index;
    json_t *record;

    if (!json_is_array(records) || json_array_size(records) == 0) {
        return pps_error_set(PPS_EINVALID, "records: not an array, or empty");
    }
    json_array_foreach(records, index, record)
    {
        unsigned char *data;
        size_t size;
        int error;

        if (!json_is_string(record)) {
            return pps_error_set(PPS_EINVALID, "record is not base64");
        }
        error = decode_record(&data, &size, json_string_value(record));
        if (error < 0) {
            return error;
        }
        free(data);
    }
    return PPS_OK;
}

static int
append_corrupt(log_stream_t *stream, const char *text, int64_t now_us)
{
    unsigned char *data;
    char *encoded = NULL;
    size_t size;
    int error = decode_record(&data, &size, text);

    if (error < 0) {
        return error;
    }
    if (size > 0) {
        data[size / 2] ^= 0x01;
    }
    encoded = malloc(sodium_base64_ENCODED_LEN(size, BASE64));
    if (encoded == NULL) {
        error = pps_error_set(PPS_ENOMEM, "record: out of memory");
        goto done;
    }
    sodium_bin2base64(encoded, sodium_base64_ENCODED_LEN(size, BASE64), data,
                      size, BASE64);
    error = log_stream_append(stream, encoded, now_us);
done:
    free(encoded);
    free(data);
    return error;
}

static int
append_records(log_service_t *log, log_stream_t *stream, const json_t *records)
{
    int64_t now_us = pps_clock_wall_us();
    size_t index;
    json_t *record;
    int error = PPS_OK;

    json_array_foreach(records, index, record)
    {
        const char *text = json_string_value(record);

        if (standin_faults_use_one(log->faults, "corrupt_next")) {
            error = append_corrupt(stream, text, now_us);
        }
        else {
            error = log_stream_append(stream, text, now_us);
        }
        if (error < 0) {
            break;
        }
    }
    log_stream_trim(stream, log->retain_records);
    return error;
}

int
log_service_append(log_service_t *log, const char *name, const json_t *records,
                   uint64_t *first_offset)
{
    log_stream_t *stream;
    int error = check_records(records);

    if (error < 0) {
        return error;
    }
    pthread_mutex_lock(&log->lock);
    if (!append_rate_take(&log->rate, pps_clock_now_us())) {
        error = pps_error_set(PPS_ELIMIT,
                              "log: more appends than the rate limit allows");
        goto done;
    }
    error = find_stream(log, &stream, name);
    if (error == 0) {
        *first_offset = stream->head;
        error = append_records(log, stream, records);
        pthread_cond_broadcast(&log->appended);
    }
done:
    pthread_mutex_unlock(&log->lock);
    return error;
}

static int
must_wait(log_service_t *log, const log_stream_t *stream,
          const log_read_t *read, int64_t end_us)
{
    return read->from == stream->head && pps_clock_now_us() < end_us &&
           !standin_server_is_stopping() &&
           standin_faults_has_text(log->faults, "log", "up");
}

int
log_service_read(log_service_t *log, json_t **out, const char *name,
                 const log_read_t *read)
{
    int64_t end_us = pps_clock_now_us() + read->wait_us;
    log_stream_t *stream;
    int error;

    *out = NULL;
    pthread_mutex_lock(&log->lock);
    error = find_stream(log, &stream, name);
    if (error < 0) {
        goto done;
    }
    while (must_wait(log, stream, read, end_us)) {
        standin_server_wait(&log->appended, &log->lock);
    }
    *out = json_pack("{s:I,s:I}", "first", (json_int_t)stream->first, "head",
                     (json_int_t)stream->head);
    if (read->from < stream->first) {
        error = pps_error_set(PPS_EEXPIRED,
                              "offset is below the first retained record");
        goto done;
    }
    json_object_set_new(*out, "records",
                        log_stream_list(stream, read->from, read->limit));
done:
    pthread_mutex_unlock(&log->lock);
    return error;
}

void
log_service_trim(log_service_t *log, uint64_t retain)
{
    log_stream_t *stream;

    pthread_mutex_lock(&log->lock);
    for (stream = log->streams; stream != NULL; stream = stream->hh.next) {
        log_stream_trim(stream, retain);
    }
    pthread_mutex_unlock(&log->lock);
}

void
log_service_wake_readers(log_service_t *log)
{
    pthread_mutex_lock(&log->lock);
    pthread_cond_broadcast(&log->appended);
    pthread_mutex_unlock(&log->lock);
}
