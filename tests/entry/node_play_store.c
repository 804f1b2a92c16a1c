/** @file node_play_store.c @brief The store of a play of hosts, and the
 * workers and the operator that write to it. */
#include "node_play.h"

#include "clock.h"
#include "names.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410
#define STATUS_PRECONDITION_FAILED 412
/** Entries of a page of a listing. */
#define PAGE_ENTRIES 5
#define KEYS_MAX 128
/** Interval of a worker's writes, and the silence after which its entry
 * expires. */
#define BEAT_US (1200 * PPS_US_PER_MS)
#define EXPIRY_US (3 * BEAT_US)
/** Time within which workers write again what an outage let expire. */
#define BACK_MAX_MS 1500
/** Time for which a leaving worker serves on. */
#define LEAVING_MIN_MS 2000
#define LEAVING_MAX_MS 4000
#define PORT_FIRST 10000

static const char *const topic_names[NODE_PLAY_TOPICS] = {
    PPS_TOPIC_OPERATOR, PPS_TOPIC_WORKERS, PPS_TOPIC_STATUS, PPS_TOPIC_HOSTS,
    PPS_TOPIC_POISON};

static node_play_topic_t *
find_topic(const char *name)
{
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        node_play_topic_t *topic = &node_play->store.topics[i];

        if (strncmp(topic->name, name, strlen(topic->name)) == 0) {
            return topic;
        }
    }
    return NULL;
}

void
node_play_store_append(const char *name, const char *key, const char *value,
                       size_t size)
{
    node_play_topic_t *topic = find_topic(name);
    node_play_record_t *record;

    if (topic->count == topic->capacity) {
        topic->capacity = topic->capacity > 0 ? 2 * topic->capacity : KEYS_MAX;
        topic->records =
            realloc(topic->records, topic->capacity * sizeof(*topic->records));
        cr_assert_not_null(topic->records);
    }
    record = &topic->records[topic->count++];
    snprintf(record->key, sizeof(record->key), "%s", key);
    record->value = value != NULL ? strndup(value, size) : NULL;
    record->size = size;
}

/* Returns the offset of a key's newest record, or -1. */
static int64_t
find_newest(const node_play_topic_t *topic, const char *key)
{
    for (size_t i = topic->count; i > 0; i--) {
        if (strcmp(topic->records[i - 1].key, key) == 0) {
            return (int64_t)i - 1;
        }
    }
    return -1;
}

const char *
node_play_store_get(size_t *size, const char *name, const char *key)
{
    const node_play_topic_t *topic = find_topic(name);
    int64_t at = find_newest(topic, key);

    if (at < 0) {
        return NULL;
    }
    *size = topic->records[at].size;
    return topic->records[at].value;
}

static int
compare_keys(const void *left, const void *right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Lists the keys that have a value, in order. */
static size_t
list_keys(const char **out, const node_play_topic_t *topic)
{
    size_t count = 0;

    for (size_t i = 0; i < topic->count; i++) {
        const char *key = topic->records[i].key;

        if (find_newest(topic, key) == (int64_t)i &&
            topic->records[i].value != NULL) {
            cr_assert_lt(count, KEYS_MAX);
            out[count++] = key;
        }
    }
    qsort(out, count, sizeof(*out), compare_keys);
    return count;
}

static json_t *
pack_entry(const node_play_topic_t *topic, const char *key)
{
    int64_t at = find_newest(topic, key);
    const node_play_record_t *record = &topic->records[at];
    size_t size = sodium_base64_ENCODED_LEN(record->size,
                                            sodium_base64_VARIANT_ORIGINAL);
    char *value = malloc(size);
    json_t *entry;

    sodium_bin2base64(value, size, (const unsigned char *)record->value,
                      record->size, sodium_base64_VARIANT_ORIGINAL);
    entry = json_pack("{s:s, s:s, s:I}", "key", key, "value", value, "offset",
                      (json_int_t)at);
    free(value);
    return entry;
}

/* Decodes %XX. */
static void
unescape(char *out, size_t size, const char *text)
{
    size_t at = 0;
    unsigned int code;

    while (at + 1 < size && sscanf(text, "%%%02X", &code) == 1) {
        out[at++] = (char)code;
        text += 3;
    }
    out[at] = '\0';
}

static unsigned int
answer_listing(pps_buf_t *out, const node_play_topic_t *topic,
               const char *path)
{
    const char *keys[KEYS_MAX];
    size_t count = list_keys(keys, topic);
    const char *after_text = strstr(path, "&after=");
    char after[NODE_PLAY_TEXT_BYTES] = "";
    json_t *entries = json_array();
    size_t at = 0;
    json_t *page;
    char *text;

    if (after_text != NULL) {
        unescape(after, sizeof(after), after_text + strlen("&after="));
    }
    while (at < count && strcmp(keys[at], after) <= 0) {
        at++;
    }
    while (at < count && json_array_size(entries) < PAGE_ENTRIES) {
        json_array_append_new(entries, pack_entry(topic, keys[at++]));
    }
    page = json_pack("{s:o, s:b, s:I}", "entries", entries, "has_more",
                     at < count, "end", (json_int_t)topic->count);
    text = json_dumps(page, JSON_COMPACT);
    pps_buf_puts(out, text);
    free(text);
    json_decref(page);
    return STATUS_OK;
}

static void
append_number(pps_buf_t *out, uint64_t number, size_t bytes)
{
    for (size_t i = bytes; i > 0; i--) {
        unsigned char byte = (unsigned char)(number >> (8 * (i - 1)));

        pps_buf_append(out, &byte, 1);
    }
}

static unsigned int
answer_read(pps_buf_t *out, const node_play_topic_t *topic, const char *path)
{
    size_t from =
        (size_t)strtoull(strstr(path, "&from=") + strlen("&from="), NULL, 10);

    if (from < topic->first) {
        return STATUS_GONE;
    }
    append_number(out, topic->count, 8);
    append_number(out, topic->first, 8);
    for (size_t i = from; i < topic->count; i++) {
        const node_play_record_t *record = &topic->records[i];
        size_t key_size = strlen(record->key);

        append_number(out, 1 + key_size + record->size, 4);
        append_number(out, key_size, 1);
        pps_buf_append(out, record->key, key_size);
        pps_buf_append(out, record->value, record->size);
    }
    return STATUS_OK;
}

static unsigned int
answer_append(node_play_topic_t *topic, const char *path,
              const pps_buf_t *body)
{
    const char *at = strstr(path, "&at=");
    const size_t head_bytes = 5;
    size_t key_size = (unsigned char)body->data[head_bytes - 1];
    char key[NODE_PLAY_TEXT_BYTES];
    size_t start = head_bytes + key_size;

    if (at != NULL &&
        strtoull(at + strlen("&at="), NULL, 10) != topic->count) {
        return STATUS_PRECONDITION_FAILED;
    }
    snprintf(key, sizeof(key), "%.*s", (int)key_size, body->data + head_bytes);
    node_play_store_append(topic->name, key,
                           body->size > start ? body->data + start : NULL,
                           body->size - start);
    return STATUS_OK;
}

unsigned int
node_play_store_answer(pps_buf_t *out, const char *path, const pps_buf_t *body)
{
    const char *name = strstr(path, "topic=");
    node_play_topic_t *topic =
        name != NULL ? find_topic(name + strlen("topic=")) : NULL;

    if (topic == NULL) {
        return STATUS_NOT_FOUND;
    }
    if (strncmp(path, "/-/log-newest", strlen("/-/log-newest")) == 0) {
        return answer_listing(out, topic, path);
    }
    if (strncmp(path, "/-/log-read", strlen("/-/log-read")) == 0) {
        return answer_read(out, topic, path);
    }
    return body != NULL ? answer_append(topic, path, body) : STATUS_NOT_FOUND;
}

static void
write_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];
    char key[NODE_PLAY_TEXT_BYTES];
    char value[512];
    int size;

    snprintf(key, sizeof(key), "worker-%02u", index);
    size = snprintf(
        value, sizeof(value),
        "{\"service\":\"pool\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%u\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"sequence\":%u,"
        "\"born\":%lld}",
        worker->port, index % node_play->options.domains,
        worker->is_leaving ? "draining" : "ready", worker->sequence++,
        (long long)worker->start_ms);
    node_play_store_append(PPS_TOPIC_WORKERS, key, value, (size_t)size);
    worker->written_us = node_play->now_us;
    worker->next_beat_us = node_play->now_us + BEAT_US;
}

static void
delete_worker(unsigned int index)
{
    char key[NODE_PLAY_TEXT_BYTES];
    size_t size;

    snprintf(key, sizeof(key), "worker-%02u", index);
    if (node_play_store_get(&size, PPS_TOPIC_WORKERS, key) != NULL) {
        node_play_store_append(PPS_TOPIC_WORKERS, key, NULL, 0);
    }
}

/* Starts a worker anew, at its address or another one. */
static void
start_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];

    if (worker->port == 0 || pps_rng_below(&node_play->rng, 2) == 0) {
        worker->port = PORT_FIRST + node_play->ports++;
    }
    worker->is_running = 1;
    worker->is_leaving = 0;
    worker->stops_us = 0;
    worker->lapses_us = 0;
    worker->next_beat_us = 0;
    worker->sequence = 0;
    worker->start_ms = pps_clock_wall_us() / PPS_US_PER_MS;
}

static int
is_store_down(void)
{
    return node_play->now_us < node_play->store.down_until_us;
}

static void
step_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];
    int64_t now_us = node_play->now_us;

    if (worker->lapses_us != 0 && now_us >= worker->lapses_us) {
        worker->lapses_us = 0;
        worker->next_beat_us =
            node_play->store.down_until_us + node_play_draw_us(0, BACK_MAX_MS);
        delete_worker(index);
    }
    if (is_store_down()) {
        return;
    }
    if (worker->stops_us != 0 && now_us >= worker->stops_us) {
        worker->stops_us = 0;
        worker->is_running = 0;
        delete_worker(index);
    }
    else if (worker->is_running && now_us >= worker->next_beat_us) {
        write_worker(index);
    }
    else if (now_us - worker->written_us >= EXPIRY_US) {
        worker->written_us = now_us;
        delete_worker(index);
    }
}

void
node_play_change_worker(void)
{
    unsigned int index = (unsigned int)pps_rng_below(
        &node_play->rng, node_play->options.workers);
    node_play_worker_t *worker = &node_play->workers[index];
    enum { RESTARTS, LEAVES, GOES, DIES, ACTS };

    if (is_store_down()) {
        return;
    }
    if (!worker->is_running) {
        start_worker(index);
        return;
    }
    switch (pps_rng_below(&node_play->rng, ACTS)) {
    case RESTARTS:
        start_worker(index);
        break;
    case LEAVES:
        worker->is_leaving = 1;
        worker->stops_us = node_play->now_us +
                           node_play_draw_us(LEAVING_MIN_MS, LEAVING_MAX_MS);
        worker->next_beat_us = node_play->now_us;
        break;
    case GOES:
        worker->is_running = 0;
        delete_worker(index);
        break;
    default:
        worker->is_running = 0;
        break;
    }
}

static void
write_config(void)
{
    char text[512];
    int size = snprintf(
        text, sizeof(text),
        "{\"version\":%lld,\"services\":[{\"name\":\"pool\"}],\"routes\":[{"
        "\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":"
        "\"safe\",\"service\":\"pool\",\"max_attempts\":3,\"timeout_ms\":2000}"
        "],\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},\"tenants\":[]}",
        (long long)node_play->orders.revision);

    node_play_store_append(PPS_TOPIC_OPERATOR, PPS_KEY_CONFIG, text,
                           (size_t)size);
}

static void
write_evacuation(void)
{
    static const char order[] = "{\"zone\":\"z0\"}";

    node_play_store_append(PPS_TOPIC_OPERATOR, PPS_KEY_EVACUATE "z0",
                           node_play->orders.evacuates ? order : NULL,
                           node_play->orders.evacuates ? strlen(order) : 0);
}

void
node_play_change_operator(void)
{
    if (is_store_down() || node_play->orders.rewrites_us != 0) {
        return;
    }
    if (pps_rng_below(&node_play->rng, 2) == 0) {
        node_play->orders.evacuates = !node_play->orders.evacuates;
        write_evacuation();
    }
    else {
        node_play->orders.revision++;
        write_config();
    }
}

/* After a restore the operator writes again what it has written last. */
static void
step_operator(void)
{
    node_play_orders_t *orders = &node_play->orders;

    if (orders->rewrites_us == 0 || is_store_down() ||
        node_play->now_us < orders->rewrites_us) {
        return;
    }
    orders->rewrites_us = 0;
    write_config();
    write_evacuation();
}

void
node_play_step_writers(void)
{
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        step_worker(i);
    }
    step_operator();
}

void
node_play_store_stop(int64_t duration_us, int lapses)
{
    node_play_store_t *store = &node_play->store;

    if (is_store_down()) {
        return;
    }
    store->down_until_us = node_play->now_us + duration_us;
    store->refusal = pps_rng_below(&node_play->rng, 2) == 0
                         ? NODE_PLAY_STORE_SILENT
                         : NODE_PLAY_STORE_BUSY;
    for (unsigned int i = 0; lapses && i < node_play->options.workers; i++) {
        if (pps_rng_below(&node_play->rng, 2) == 0) {
            node_play->workers[i].lapses_us =
                node_play->now_us +
                (int64_t)pps_rng_below(&node_play->rng, (uint64_t)duration_us);
        }
    }
}

void
node_play_store_back_up(void)
{
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        node_play->store.topics[i].backup = node_play->store.topics[i].count;
    }
}

static void
truncate_topic(node_play_topic_t *topic)
{
    while (topic->count > topic->backup) {
        free(topic->records[--topic->count].value);
    }
    if (topic->first > topic->count) {
        topic->first = topic->count;
    }
}

void
node_play_store_restore(void)
{
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        truncate_topic(&node_play->store.topics[i]);
    }
    node_play->store.epoch++;
    node_play->orders.rewrites_us =
        node_play->now_us + node_play_draw_us(0, BACK_MAX_MS);
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        node_play->workers[i].written_us = node_play->now_us;
    }
}

void
node_play_store_compact(void)
{
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        node_play->store.topics[i].first = node_play->store.topics[i].count;
    }
}

void
node_play_store_start(void)
{
    node_play->store.epoch = 1;
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        node_play->store.topics[i].name = topic_names[i];
    }
    node_play->orders.revision = 1;
    write_config();
    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        start_worker(i);
        node_play->workers[i].next_beat_us =
            node_play->now_us + node_play_draw_us(0, 1000);
        node_play->workers[i].written_us = node_play->now_us;
    }
}

void
node_play_store_end(void)
{
    for (size_t i = 0; i < NODE_PLAY_TOPICS; i++) {
        node_play->store.topics[i].backup = 0;
        truncate_topic(&node_play->store.topics[i]);
        free(node_play->store.topics[i].records);
    }
}
