/** @file node_play_store.c @brief The store of a play of hosts. */
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

    if (node_play->store.refuses_status &&
        strcmp(topic->name, PPS_TOPIC_STATUS) == 0) {
        return STATUS_PRECONDITION_FAILED;
    }
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

int
node_play_store_is_down(void)
{
    return node_play->now_us < node_play->store.down_until_us;
}

void
node_play_store_stop(int64_t duration_us, int lapses)
{
    node_play_store_t *store = &node_play->store;

    if (node_play_store_is_down()) {
        return;
    }
    store->down_until_us = node_play->now_us + duration_us;
    store->refusal = pps_rng_below(&node_play->rng, 2) == 0
                         ? NODE_PLAY_STORE_SILENT
                         : NODE_PLAY_STORE_BUSY;
    if (lapses) {
        node_play_draw_lapses(duration_us);
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
    node_play_write_again();
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
    node_play_start_writers();
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
