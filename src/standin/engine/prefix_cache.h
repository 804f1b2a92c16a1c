/**
 * @file prefix_cache.h
 * @brief Which prompt prefixes an engine still holds, and what it says of it.
 *
 * A prompt is cut into blocks of PREFIX_BLOCK_BYTES. The hash of a version
 * starts the chain (XXH64 of its name, seed 0); the hash of each block is
 * XXH64 seeded with the hash before it, so that it names the whole prefix.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include "hash_table.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

/** Bytes of one block of a prompt. */
#define PREFIX_BLOCK_BYTES 64

/** Events kept for readers. */
#define PREFIX_EVENTS_MAX 4096

/** A cached prefix. */
typedef struct {
    uint64_t hash;
    struct cds_list_head node;
    UT_hash_handle hh;
} prefix_entry_t;

/** A change of the cache. */
typedef struct {
    int64_t time_us;
    uint64_t hash;
    int stored; /**< else evicted */
} prefix_event_t;

/** The cache: least recently used at the list's end. Not locked. */
typedef struct {
    prefix_entry_t *entries;
    struct cds_list_head recent;
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
 * Takes a prompt in.
 * @return the number of blocks that were not cached
 */
size_t
prefix_cache_use(prefix_cache_t *cache, const char *version,
                 const char *prompt);

/**
 * `{"head","events"}` from `from` on, as far as `until_us`; some events are
 * left out on purpose.
 */
json_t *
prefix_cache_events(const prefix_cache_t *cache, uint64_t from,
                    int64_t until_us);

#endif
