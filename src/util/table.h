/**
 * @file table.h
 * @brief Intrusive hash table on uthash.
 *
 * The hash seed is random per process, so that API callers, who choose keys,
 * cannot force collisions in one bucket.
 */
#ifndef PPS_UTIL_TABLE_H
#define PPS_UTIL_TABLE_H

#include <stddef.h>
#include <uthash.h>

/** Embedded in an entry; caa_container_of() returns the entry. */
typedef struct {
    UT_hash_handle hh;
} pps_table_item_t;

/** Zero-initialized table; its memory is freed with the last item. */
typedef struct {
    pps_table_item_t *items;
} pps_table_t;

/** Adds an item. The key must not be in the table yet; it is not copied and
 * must outlive the item. */
void
pps_table_add(pps_table_t *table, pps_table_item_t *item, const void *key,
              size_t size);

/** Returns the item with the key, or NULL. */
pps_table_item_t *
pps_table_find(const pps_table_t *table, const void *key, size_t size);

/** Removes an item that is in the table. */
void
pps_table_remove(pps_table_t *table, pps_table_item_t *item);

/** Returns the number of items. */
size_t
pps_table_count(const pps_table_t *table);

#endif
