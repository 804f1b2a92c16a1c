/** @file log_stream.c @brief Growing ring buffer, indexed by offset. */
#include "log_stream.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 256

int
log_stream_new(log_stream_t **out, const char *name)
{
    log_stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        return pps_error_set(PPS_ENOMEM, "stream: out of memory");
    }
    stream->capacity = FIRST_CAPACITY;
    stream->records = calloc(FIRST_CAPACITY, sizeof(log_record_t));
    if (stream->records == NULL) {
        free(stream);
        return pps_error_set(PPS_ENOMEM, "stream: out of memory");
    }
    snprintf(stream->name, sizeof(stream->name), "%s", name);
    *out = stream;
    return PPS_OK;
}

static log_record_t *
slot(const log_stream_t *stream, uint64_t offset)
{
    return &stream->records[offset % stream->capacity];
}

static int
grow(log_stream_t *stream)
{
    log_stream_t larger = *stream;

    larger.capacity = stream->capacity * 2;
    larger.records = calloc(larger.capacity, sizeof(log_record_t));
    if (larger.records == NULL) {
        return pps_error_set(PPS_ENOMEM, "stream: out of memory");
    }
    for (uint64_t offset = stream->first; offset < stream->head; offset++) {
        *slot(&larger, offset) = *slot(stream, offset);
    }
    free(stream->records);
    stream->capacity = larger.capacity;
    stream->records = larger.records;
    return PPS_OK;
}

int
log_stream_append(log_stream_t *stream, const char *data, int64_t time_us)
{
    log_record_t record = {time_us, strdup(data)};

    if (record.data == NULL) {
        return pps_error_set(PPS_ENOMEM, "record: out of memory");
    }
    if (stream->head - stream->first == stream->capacity && grow(stream) < 0) {
        free(record.data);
        return PPS_ENOMEM;
    }
    *slot(stream, stream->head) = record;
    stream->head++;
    return PPS_OK;
}

void
log_stream_trim(log_stream_t *stream, uint64_t retain)
{
    while (stream->head - stream->first > retain) {
        free(slot(stream, stream->first)->data);
        stream->first++;
    }
}

json_t *
log_stream_list(const log_stream_t *stream, uint64_t from, uint64_t limit)
{
    json_t *list = json_array();

    for (uint64_t offset = from;
         offset < stream->head && offset - from < limit; offset++) {
        const log_record_t *record = slot(stream, offset);

        json_array_append_new(list, json_pack("{s:I,s:I,s:s}", "offset",
                                              (json_int_t)offset, "time_us",
                                              (json_int_t)record->time_us,
                                              "data", record->data));
    }
    return list;
}

void
log_stream_free(log_stream_t *stream)
{
    log_stream_trim(stream, 0);
    free(stream->records);
    free(stream);
}
