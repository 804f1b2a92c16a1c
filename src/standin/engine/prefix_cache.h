/**
 * @file prefix_cache.h
 * @brief Simulates the prefix cache of an engine and reports its events.
 *
 * A prompt is split into blocks of PREFIX_BLOCK_BYTES. The hash of a block is
 * XXH64 with the hash of the previous block as its seed, and so identifies the
 * prefix up to it. The first seed is XXH64 of the version name with seed 0.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include "hash_table.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

/** Size of a block of a prompt in bytes. */
#define PREFIX_BLOCK_BYTES 64

/** Maximum number of retained events. */
#define PREFIX_EVENTS_MAX 4096

/** Cached prefix. */
typedef struct {
    uint64_t hash;
    struct cds_list_head node;
    UT_hash_handle hh;
} prefix_entry_t;

/** Insertion or eviction of a prefix. */
typedef struct {
    int64_t time_us;
    uint64_t hash;
    int stored; /**< 1 for an insertion, 0 for an eviction */
} prefix_event_t;

/** Prefix cache. Not thread-safe. */
typedef struct {
    prefix_entry_t *entries;
    struct cds_list_head recent; /**< most recently used first */
    size_t count;
    size_t capacity;
    uint64_t event_head; /**< sequence number of the next event */
    prefix_event_t events[PREFIX_EVENTS_MAX];
} prefix_cache_t;

void
prefix_cache_init(prefix_cache_t *cache, size_t capacity);

void
prefix_cache_clear(prefix_cache_t *cache);

/**
 * Looks up the blocks of a prompt and inserts those that are not cached.
 * @return the number of blocks after the cached prefix, a partial one included
 */
size_t
prefix_cache_use(prefix_cache_t *cache, const char *version,
                 const char *prompt);

/**
 * Returns `{"head","events"}`: events from `from` on, up to `until_us`. Omits
 * some events on purpose, so that readers are tested with gaps.
 */
json_t *
prefix_cache_events(const prefix_cache_t *cache, uint64_t from,
                    int64_t until_us);

#endif
