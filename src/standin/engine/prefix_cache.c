/** @file prefix_cache.c @brief Bounded LRU cache of prompt prefixes. */
#include "prefix_cache.h"

#include "clock.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define EVENT_GAP_INTERVAL 16
#define HASH_HEX_BYTES 17

void
prefix_cache_init(prefix_cache_t *cache, size_t capacity)
{
    memset(cache, 0, sizeof(*cache));
    CDS_INIT_LIST_HEAD(&cache->recent);
    cache->capacity = capacity;
}

static void
record_event(prefix_cache_t *cache, uint64_t hash, int stored)
{
    cache->events[cache->event_head % PREFIX_EVENTS_MAX] =
        (prefix_event_t){pps_clock_now_us(), hash, stored};
    cache->event_head++;
}

static void
evict(prefix_cache_t *cache, prefix_entry_t *entry)
{
    record_event(cache, entry->hash, 0);
    cds_list_del(&entry->node);
    HASH_DEL(cache->entries, entry);
    free(entry);
    cache->count--;
}

void
prefix_cache_clear(prefix_cache_t *cache)
{
    prefix_entry_t *entry = cache->entries;

    HASH_CLEAR(hh, cache->entries);
    while (entry != NULL) {
        prefix_entry_t *next = entry->hh.next;

        free(entry);
        entry = next;
    }
}

static void
/* NOLINTNEXTLINE(readability-function-size): hash macros */
insert(prefix_cache_t *cache, uint64_t hash)
{
    prefix_entry_t *entry = calloc(1, sizeof(*entry));

    if (entry == NULL || cache->capacity == 0) {
        free(entry);
        return;
    }
    if (cache->count == cache->capacity) {
        evict(cache, cds_list_entry(cache->recent.prev, prefix_entry_t, node));
    }
    entry->hash = hash;
    HASH_ADD(hh, cache->entries, hash, sizeof(entry->hash), entry);
    cds_list_add(&entry->node, &cache->recent);
    cache->count++;
    record_event(cache, hash, 1);
}

/* @return whether the prefix was cached */
static int
touch_or_insert(prefix_cache_t *cache, uint64_t hash)
{
    prefix_entry_t *entry;

    HASH_FIND(hh, cache->entries, &hash, sizeof(hash), entry);
    if (entry == NULL) {
        insert(cache, hash);
        return 0;
    }
    cds_list_move(&entry->node, &cache->recent);
    return 1;
}

size_t
prefix_cache_use(prefix_cache_t *cache, const char *version,
                 const char *prompt)
{
    size_t length = strlen(prompt);
    uint64_t hash = XXH64(version, strlen(version), 0);
    size_t missed_count = 0;

    for (size_t offset = 0; offset + PREFIX_BLOCK_BYTES <= length;
         offset += PREFIX_BLOCK_BYTES) {
        hash = XXH64(prompt + offset, PREFIX_BLOCK_BYTES, hash);
        if (!touch_or_insert(cache, hash) || missed_count > 0) {
            missed_count++;
        }
    }
    return missed_count + (length % PREFIX_BLOCK_BYTES != 0);
}

static json_t *
event_json(const prefix_event_t *event, uint64_t sequence)
{
    char hex[HASH_HEX_BYTES];

    snprintf(hex, sizeof(hex), "%016" PRIx64, event->hash);
    return json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)sequence, "action",
                     event->stored ? "stored" : "evicted", "hash", hex);
}

json_t *
prefix_cache_events(const prefix_cache_t *cache, uint64_t from,
                    int64_t until_us)
{
    json_t *list = json_array();
    uint64_t first = cache->event_head < PREFIX_EVENTS_MAX
                         ? 0
                         : cache->event_head - PREFIX_EVENTS_MAX;
    uint64_t sequence = from > first ? from : first;

    for (; sequence < cache->event_head; sequence++) {
        const prefix_event_t *event =
            &cache->events[sequence % PREFIX_EVENTS_MAX];

        if (event->time_us > until_us) {
            break;
        }
        if (sequence % EVENT_GAP_INTERVAL != EVENT_GAP_INTERVAL - 1) {
            json_array_append_new(list, event_json(event, sequence));
        }
    }
    return json_pack("{s:I,s:o}", "head", (json_int_t)sequence, "events",
                     list);
}
