/** @file soak_store_backup.c @brief Backups of the store, and its return from
 * them. */
#include "soak.h"

#include "clock.h"

#include <stdlib.h>
#include <string.h>

/** Time after a restoration at which the operator and the workers write again
 * what the backup lacks. */
#define REWRITE_DELAY_US (300 * PPS_US_PER_MS)

void
store_forget_lost(store_t *store, const topic_t *topic, const char *key)
{
    topic_t *lost = &store->lost[topic - store->topics];

    for (size_t i = 0; i < lost->count; i++) {
        if (strcmp(lost->records[i].key, key) == 0) {
            lost->records[i].key[0] = '\0';
        }
    }
}

void
store_back_up(store_t *store)
{
    for (size_t i = 0; i < store->topic_count; i++) {
        store->topics[i].backup_count = store->topics[i].count;
    }
}

static int
is_last_of_its_key(const topic_t *lost, size_t index)
{
    for (size_t i = index + 1; i < lost->count; i++) {
        if (strcmp(lost->records[i].key, lost->records[index].key) == 0) {
            return 0;
        }
    }
    return 1;
}

/* Writes the newest of the lost records of each key again, so that offsets do
 * not reach those of before. */
static void
on_rewrite(int64_t now_us, void *user)
{
    store_t *store = user;

    for (size_t i = 0; i < store->topic_count; i++) {
        topic_t *lost = &store->lost[i];

        for (size_t n = 0; n < lost->count; n++) {
            record_t *record = &lost->records[n];

            if (record->key[0] != '\0' && is_last_of_its_key(lost, n)) {
                store_add_record(
                    &store->topics[i], record->key, strlen(record->key),
                    record->is_tombstone ? NULL : pps_buf_text(&record->value),
                    record->value.size);
            }
            pps_buf_clear(&record->value);
        }
        lost->count = 0;
    }
}

static int
is_written_again(const topic_t *topic)
{
    return strcmp(topic->name, "keyed.op") == 0 ||
           strcmp(topic->name, "keyed.servers") == 0;
}

/* Moves the last record behind the first `kept` lost ones, which are older. */
static void
drop_last(topic_t *topic, topic_t *lost, size_t kept)
{
    record_t *record = &topic->records[topic->count - 1];

    if (is_written_again(topic)) {
        lost->records =
            realloc(lost->records, (lost->count + 1) * sizeof(*record));
        memmove(lost->records + kept + 1, lost->records + kept,
                (lost->count - kept) * sizeof(*record));
        lost->records[kept] = *record;
        lost->count++;
    }
    else {
        pps_buf_clear(&record->value);
    }
    topic->count--;
}

void
store_restore(store_t *store)
{
    store->epoch++;
    for (size_t i = 0; i < store->topic_count; i++) {
        topic_t *topic = &store->topics[i];
        size_t lost_before = store->lost[i].count;

        while (topic->count > topic->backup_count) {
            drop_last(topic, &store->lost[i], lost_before);
        }
        if (topic->first > topic->count) {
            topic->first = topic->count;
        }
    }
    pps_reactor_after(store->reactor, &store->rewrite_timer, REWRITE_DELAY_US,
                      on_rewrite, store);
}
