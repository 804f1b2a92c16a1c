/**
 * @file table.h
 * @brief Hash table of embedded items, by uthash.
 *
 * The hash's seed is the process's own, so that callers, who choose keys,
 * cannot aim at one bucket.
 */
#ifndef PPS_UTIL_TABLE_H
#define PPS_UTIL_TABLE_H

#include <stddef.h>
#include <uthash.h>

/** Embedded in what the table holds; reach that with caa_container_of(). */
typedef struct {
    UT_hash_handle hh;
} pps_table_item_t;

/** A table. Zero-initialise it; it is freed with its last item. */
typedef struct {
    pps_table_item_t *items;
} pps_table_t;

/** Adds an item; the key stays owned by the item's holder. */
void
pps_table_add(pps_table_t *table, pps_table_item_t *item, const void *key,
              size_t size);

/** The item of that key, or NULL. */
pps_table_item_t *
pps_table_find(const pps_table_t *table, const void *key, size_t size);

/** Removes an item that is in the table. */
void
pps_table_remove(pps_table_t *table, pps_table_item_t *item);

/** Items in the table. */
size_t
pps_table_count(const pps_table_t *table);

#endif
