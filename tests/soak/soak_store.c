/** @file soak_store.c @brief Runs a stand-in for the store. */
#include "soak.h"

#include "clock.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_US (20 * PPS_US_PER_MS)
#define SLOW_DELAY_US (250 * PPS_US_PER_MS)

/* A request that has not been answered yet. */
typedef struct {
    struct cds_list_head node;
    store_t *store;
    pps_http_conn_t *conn;
    char target[256];
    pps_buf_t body;
    int64_t due_us;
    int waits_for_records; /* is answered before due_us if there are records */
    pps_timer_t timer;
} call_t;

static topic_t *
find_topic(store_t *store, const char *name)
{
    for (size_t i = 0; i < store->topic_count; i++) {
        if (strcmp(store->topics[i].name, name) == 0) {
            return &store->topics[i];
        }
    }
    snprintf(store->topics[store->topic_count].name, SOAK_TEXT_BYTES, "%s",
             name);
    return &store->topics[store->topic_count++];
}

void
store_add_record(topic_t *topic, const char *key, size_t key_size,
                 const char *value, size_t size)
{
    record_t *record;

    topic->records =
        realloc(topic->records, (topic->count + 1) * sizeof(*record));
    record = &topic->records[topic->count++];
    memset(record, 0, sizeof(*record));
    snprintf(record->key, SOAK_TEXT_BYTES, "%.*s", (int)key_size, key);
    record->is_tombstone = value == NULL;
    if (value != NULL) {
        pps_buf_append(&record->value, value, size);
    }
}

void
store_put(store_t *store, const char *topic, const char *key,
          const char *value)
{
    topic_t *found = find_topic(store, topic);

    store_forget_lost(store, found, key);
    store_add_record(found, key, strlen(key), value,
                     value ? strlen(value) : 0);
}

void
store_compact(store_t *store, const char *topic)
{
    topic_t *found = find_topic(store, topic);

    found->first = found->count;
}

/* Responds and states the epoch. */
static void
respond_with(const store_t *store, pps_http_conn_t *conn, unsigned int status,
             const char *body, size_t size)
{
    char fields[SOAK_TEXT_BYTES];

    snprintf(fields, sizeof(fields), "Store-Era: %u\r\n", store->epoch);
    pps_http_conn_respond(conn, status, fields, body, size);
}

static void
copy_parameter(char *out, size_t size, const char *target, const char *name)
{
    char prefix[SOAK_TEXT_BYTES];
    const char *value;

    snprintf(prefix, sizeof(prefix), "%s=", name);
    value = strstr(target, prefix);
    out[0] = '\0';
    if (value != NULL) {
        value += strlen(prefix);
        snprintf(out, size, "%.*s", (int)strcspn(value, "&"), value);
    }
}

static long
number_parameter(const char *target, const char *name, long default_value)
{
    char text[SOAK_TEXT_BYTES];

    copy_parameter(text, sizeof(text), target, name);
    return text[0] != '\0' ? strtol(text, NULL, 10) : default_value;
}

static int
is_newest_value(const topic_t *topic, size_t index)
{
    for (size_t i = index + 1; i < topic->count; i++) {
        if (strcmp(topic->records[i].key, topic->records[index].key) == 0) {
            return 0;
        }
    }
    return !topic->records[index].is_tombstone;
}

static void
respond_newest(const store_t *store, const topic_t *topic,
               pps_http_conn_t *conn)
{
    pps_buf_t body = PPS_BUF_INIT;
    const char *comma = "";

    pps_buf_puts(&body, "{\"entries\":[");
    for (size_t i = 0; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        size_t capacity = sodium_base64_ENCODED_LEN(
            record->value.size, sodium_base64_VARIANT_ORIGINAL);
        char *text;

        if (!is_newest_value(topic, i)) {
            continue;
        }
        text = malloc(capacity);
        sodium_bin2base64(text, capacity,
                          (unsigned char *)pps_buf_text(&record->value),
                          record->value.size, sodium_base64_VARIANT_ORIGINAL);
        pps_buf_printf(&body,
                       "%s{\"key\":\"%s\",\"value\":\"%s\","
                       "\"offset\":%zu}",
                       comma, record->key, text, i);
        comma = ",";
        free(text);
    }
    pps_buf_printf(&body, "],\"has_more\":false,\"end\":%zu}", topic->count);
    respond_with(store, conn, 200, body.data, body.size);
    pps_buf_clear(&body);
}

static void
append_big_endian(pps_buf_t *out, uint64_t value, int bytes)
{
    while (bytes-- > 0) {
        char byte = (char)(value >> (8 * bytes));

        pps_buf_append(out, &byte, 1);
    }
}

static void
respond_read(const store_t *store, const topic_t *topic, pps_http_conn_t *conn,
             size_t from)
{
    pps_buf_t body = PPS_BUF_INIT;

    if (from < topic->first || from > topic->count) {
        respond_with(store, conn, 410, "{}", 2);
        return;
    }
    append_big_endian(&body, topic->count, 8);
    append_big_endian(&body, topic->first, 8);
    for (size_t i = from; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        size_t key_size = strlen(record->key);

        append_big_endian(&body, 1 + key_size + record->value.size, 4);
        append_big_endian(&body, key_size, 1);
        pps_buf_append(&body, record->key, key_size);
        pps_buf_append(&body, pps_buf_text(&record->value),
                       record->value.size);
    }
    respond_with(store, conn, 200, body.data, body.size);
    pps_buf_clear(&body);
}

const char *
store_get(store_t *store, const char *topic, const char *key)
{
    const topic_t *found = find_topic(store, topic);

    for (size_t i = found->count; i > 0; i--) {
        const record_t *record = &found->records[i - 1];

        if (strcmp(record->key, key) == 0) {
            return record->is_tombstone ? NULL : pps_buf_text(&record->value);
        }
    }
    return NULL;
}

static int
is_final_status(const char *value)
{
    return value != NULL && (strstr(value, "completed") != NULL ||
                             strstr(value, "rolled_back") != NULL);
}

/* Remembers the first final status of the roll-out. */
static void
note_final_status(store_t *store)
{
    const char *value = store_get(store, SOAK_STATUS_TOPIC, SOAK_ROLLOUT_KEY);

    if (is_final_status(value) && store->final_status[0] == '\0') {
        snprintf(store->final_status, sizeof(store->final_status), "%s",
                 value);
    }
}

static void
respond_append(store_t *store, topic_t *topic, const call_t *call)
{
    const unsigned char *data = (unsigned char *)pps_buf_text(&call->body);
    long expected_end = number_parameter(call->target, "at", -1);
    size_t key_size;
    char text[SOAK_TEXT_BYTES];

    if (expected_end >= 0 && (size_t)expected_end != topic->count) {
        snprintf(text, sizeof(text), "{\"end\":%zu}", topic->count);
        respond_with(store, call->conn, 412, text, strlen(text));
        return;
    }
    key_size = data[4];
    store_add_record(topic, (const char *)data + 5, key_size,
                     (const char *)data + 5 + key_size,
                     call->body.size - 5 - key_size);
    note_final_status(store);
    if (store->mode == STORE_LOSES_RESPONSE) {
        return;
    }
    snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}",
             topic->count - 1, topic->count);
    respond_with(store, call->conn, 200, text, strlen(text));
}

static void
end_call(call_t *call)
{
    pps_timers_cancel(&call->timer);
    cds_list_del(&call->node);
    pps_buf_clear(&call->body);
    free(call);
}

static void
respond(call_t *call)
{
    store_t *store = call->store;
    char name[SOAK_TEXT_BYTES];
    topic_t *topic;

    if (store->mode == STORE_SILENT) {
        return;
    }
    copy_parameter(name, sizeof(name), call->target, "topic");
    topic = find_topic(store, name);
    pps_http_conn_attach(call->conn, NULL);
    if (store->mode == STORE_UNAVAILABLE) {
        respond_with(store, call->conn, 503, "", 0);
    }
    else if (strncmp(call->target, "/-/log-newest", 13) == 0) {
        respond_newest(store, topic, call->conn);
    }
    else if (strncmp(call->target, "/-/log-read", 11) == 0) {
        respond_read(store, topic, call->conn,
                     (size_t)number_parameter(call->target, "from", 0));
    }
    else {
        respond_append(store, topic, call);
    }
    end_call(call);
}

static void
on_poll_timer(int64_t now_us, void *user)
{
    call_t *call = user;
    char name[SOAK_TEXT_BYTES];
    const topic_t *topic;

    copy_parameter(name, sizeof(name), call->target, "topic");
    topic = find_topic(call->store, name);
    if (now_us >= call->due_us ||
        (call->waits_for_records &&
         topic->count > (size_t)number_parameter(call->target, "from", 0))) {
        respond(call);
        return;
    }
    pps_reactor_after(call->store->reactor, &call->timer, POLL_INTERVAL_US,
                      on_poll_timer, call);
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    store_t *store = user;
    call_t *call = calloc(1, sizeof(*call));
    long wait_ms;

    call->store = store;
    call->conn = conn;
    snprintf(call->target, sizeof(call->target), "%s",
             pps_buf_text(&request->target));
    pps_buf_append(&call->body, pps_buf_text(&request->body),
                   request->body.size);
    cds_list_add_tail(&call->node, &store->pending_calls);
    pps_http_conn_attach(conn, call);
    wait_ms = number_parameter(call->target, "wait_ms", 0);
    call->waits_for_records = wait_ms > 0;
    call->due_us = store->reactor->now_us + wait_ms * PPS_US_PER_MS +
                   (store->mode == STORE_SLOW ? SLOW_DELAY_US : 0);
    on_poll_timer(store->reactor->now_us, call);
}

static void
on_disconnect(void *user, void *exchange)
{
    end_call(exchange);
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};

void
store_start(store_t *store, pps_reactor_t *reactor)
{
    memset(store, 0, sizeof(*store));
    store->reactor = reactor;
    store->epoch = 1;
    CDS_INIT_LIST_HEAD(&store->pending_calls);
    store->limits = (pps_http_limits_t){8192, 1U << 20, 60 * PPS_US_PER_S,
                                        60 * PPS_US_PER_S};
    if (pps_http_server_new(&store->server, reactor, "127.0.0.1", 0,
                            &store->limits, &ops, store) != 0) {
        abort();
    }
}
