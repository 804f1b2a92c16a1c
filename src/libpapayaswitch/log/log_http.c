/** @file log_http.c @brief Log backend over the HTTP API of the platform. */
#include "papayaswitch/log_http.h"

#include "http_client.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_BYTES 256
#define APPEND_TIMEOUT_MS 2000
#define READ_TIMEOUT_MS 1500
#define HTTP_OK 200
#define HTTP_GONE 410

typedef struct {
    pps_log_backend_t base;
    pps_http_client_t *client;
    char url[URL_BYTES];
} log_http_t;

static int
add_record(json_t *list, const pps_log_blob_t *record)
{
    size_t size = sodium_base64_encoded_len(record->size,
                                            sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(size);
    int error = PPS_OK;

    if (text == NULL) {
        return pps_error_set(PPS_ENOMEM, "log append: out of memory");
    }
    sodium_bin2base64(text, size, record->data, record->size,
                      sodium_base64_VARIANT_ORIGINAL);
    if (json_array_append_new(list, json_string(text)) != 0) {
        error = pps_error_set(PPS_ENOMEM, "log append: out of memory");
    }
    free(text);
    return error;
}

static int
encode_append(char **out, const pps_log_blob_t *records, size_t count)
{
    json_t *list = json_array();
    json_t *body = json_pack("{s:o}", "records", list);
    int error = PPS_OK;

    for (size_t i = 0; i < count && error == 0; i++) {
        error = add_record(list, &records[i]);
    }
    *out = error == 0 ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    if (error == 0 && *out == NULL) {
        error = pps_error_set(PPS_ENOMEM, "log append: out of memory");
    }
    return error;
}

/* Only 400, 429 and 503 guarantee that the service wrote nothing. */
static int
classify_append_status(const char *stream, int status)
{
    int not_written = status == 429 || status == 503 || status == 400;

    return pps_error_set(not_written ? PPS_EUNAVAILABLE : PPS_EUNKNOWN,
                         "log append to %s: status %d", stream, status);
}

static int
read_first_offset(uint64_t *out, const pps_buf_t *body)
{
    json_t *json = json_loadb(pps_buf_text(body), body->size, 0, NULL);
    json_t *offset = json_object_get(json, "offset");
    int error = PPS_OK;

    if (json_is_integer(offset) && json_integer_value(offset) >= 0) {
        *out = (uint64_t)json_integer_value(offset);
    }
    else {
        error = pps_error_set(PPS_EUNKNOWN,
                              "log append: response without a valid offset");
    }
    json_decref(json);
    return error;
}

static int
log_http_append(pps_log_backend_t *base, const char *stream,
                const pps_log_blob_t *records, size_t count,
                uint64_t *first_offset)
{
    log_http_t *self = (log_http_t *)base;
    static const char *const headers[] = {"Content-Type: application/json"};
    pps_http_response_t response;
    pps_http_request_t request = {.headers = headers,
                                  .header_count = 1,
                                  .answer_timeout_ms = APPEND_TIMEOUT_MS};
    char url[URL_BYTES + 64];
    char *body = NULL;
    int error = encode_append(&body, records, count);

    if (error < 0) {
        return error;
    }
    snprintf(url, sizeof(url), "%s/log/%s/append", self->url, stream);
    request.url = url;
    request.body = body;
    request.body_size = strlen(body);
    error = pps_http_client_call(&response, self->client, &request);
    free(body);
    if (error < 0) {
        return error == PPS_EUNAVAILABLE ? error : PPS_EUNKNOWN;
    }
    error = response.status == HTTP_OK
                ? read_first_offset(first_offset, &response.body)
                : classify_append_status(stream, response.status);
    pps_http_response_clear(&response);
    return error;
}

typedef struct {
    int (*each)(const pps_log_entry_t *entry, void *user);
    void *user;
} visitor_t;

static int
visit_record(const json_t *record, const visitor_t *visitor)
{
    const char *text = json_string_value(json_object_get(record, "data"));
    pps_log_entry_t entry = {
        .offset =
            (uint64_t)json_integer_value(json_object_get(record, "offset")),
        .time_us = json_integer_value(json_object_get(record, "time_us"))};
    size_t capacity;
    unsigned char *data;
    int stop;

    if (text == NULL) {
        return pps_error_set(PPS_ECORRUPT,
                             "log read: record without a data string");
    }
    capacity = strlen(text);
    data = malloc(capacity + 1);
    if (data == NULL) {
        return pps_error_set(PPS_ENOMEM, "log read: out of memory");
    }
    if (sodium_base642bin(data, capacity + 1, text, capacity, NULL,
                          &entry.size, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        entry.size = 0;
    }
    entry.data = data;
    stop = visitor->each(&entry, visitor->user);
    free(data);
    return stop;
}

static int
visit_records(const pps_http_response_t *response, const visitor_t *visitor,
              pps_log_range_t *range)
{
    json_t *json = json_loadb(pps_buf_text(&response->body),
                              response->body.size, 0, NULL);
    json_t *first = json_object_get(json, "first");
    json_t *head = json_object_get(json, "head");
    json_t *records = json_object_get(json, "records");
    json_t *record;
    size_t index;
    int error = PPS_OK;

    if (!json_is_integer(first) || !json_is_integer(head)) {
        error = pps_error_set(
            PPS_EUNAVAILABLE,
            "log read: status %d, first and head must be integers",
            response->status);
        goto done;
    }
    range->first = (uint64_t)json_integer_value(first);
    range->head = (uint64_t)json_integer_value(head);
    if (response->status == HTTP_GONE) {
        error = pps_error_set(PPS_EEXPIRED,
                              "log read: offset expired, oldest is %" PRIu64,
                              range->first);
        goto done;
    }
    json_array_foreach(records, index, record)
    {
        error = visit_record(record, visitor);
        if (error != 0) {
            break;
        }
    }

done:
    json_decref(json);
    return error < 0 ? error : PPS_OK;
}

static int
log_http_read(pps_log_backend_t *base, const char *stream, uint64_t from,
              size_t limit, int wait_ms,
              int (*each)(const pps_log_entry_t *entry, void *user),
              void *user, pps_log_range_t *range)
{
    log_http_t *self = (log_http_t *)base;
    const visitor_t visitor = {each, user};
    pps_http_response_t response;
    pps_http_request_t request = {.answer_timeout_ms =
                                      READ_TIMEOUT_MS + wait_ms};
    char url[URL_BYTES + 128];
    int error;

    snprintf(url, sizeof(url),
             "%s/log/%s?from=%" PRIu64 "&limit=%zu&wait_ms=%d", self->url,
             stream, from, limit, wait_ms);
    request.url = url;
    error = pps_http_client_call(&response, self->client, &request);
    if (error < 0) {
        return PPS_EUNAVAILABLE;
    }
    if (response.status != HTTP_OK && response.status != HTTP_GONE) {
        error = pps_error_set(PPS_EUNAVAILABLE, "log read of %s: status %d",
                              stream, response.status);
    }
    else {
        error = visit_records(&response, &visitor, range);
    }
    pps_http_response_clear(&response);
    return error;
}

static void
log_http_free(pps_log_backend_t *base)
{
    log_http_t *self = (log_http_t *)base;

    if (self != NULL) {
        pps_http_client_free(self->client);
        free(self);
    }
}

int
pps_log_http_new(pps_log_backend_t **out, const char *base_url)
{
    log_http_t *self = calloc(1, sizeof(*self));
    int error;

    if (self == NULL) {
        return pps_error_set(PPS_ENOMEM, "log client: out of memory");
    }
    self->base.version = PPS_LOG_BACKEND_VERSION;
    self->base.append = log_http_append;
    self->base.read = log_http_read;
    self->base.free = log_http_free;
    snprintf(self->url, sizeof(self->url), "%s", base_url);
    error = pps_http_client_new(&self->client);
    if (error < 0) {
        free(self);
        return error;
    }
    *out = &self->base;
    return PPS_OK;
}
