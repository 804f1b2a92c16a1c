/** @file table.c @brief Implements the intrusive hash table with uthash. */
#include <stddef.h>

static unsigned int
hash_key(const void *key, size_t size);

#define HASH_FUNCTION(key, size, hash) ((hash) = hash_key((key), (size)))

#include "table.h"

#include "rng.h"

#include <pthread.h>
#include <xxhash.h>

static pthread_once_t seed_once = PTHREAD_ONCE_INIT;
static uint64_t hash_seed;

static void
init_seed(void)
{
    hash_seed = pps_rng_system_seed();
}

static unsigned int
hash_key(const void *key, size_t size)
{
    pthread_once(&seed_once, init_seed);
    return (unsigned int)XXH64(key, size, hash_seed);
}

/* NOLINTBEGIN(readability-function-size): uthash macros expand here. */
void
pps_table_add(pps_table_t *table, pps_table_item_t *item, const void *key,
              size_t size)
{
    HASH_ADD_KEYPTR(hh, table->items, key, size, item);
}

pps_table_item_t *
pps_table_find(const pps_table_t *table, const void *key, size_t size)
{
    pps_table_item_t *item;

    HASH_FIND(hh, table->items, key, size, item);
    return item;
}

void
pps_table_remove(pps_table_t *table, pps_table_item_t *item)
{
    HASH_DEL(table->items, item);
}
/* NOLINTEND(readability-function-size) */

size_t
pps_table_count(const pps_table_t *table)
{
    return HASH_COUNT(table->items);
}
