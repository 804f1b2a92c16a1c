/**
 * @file catalog_private.h
 * @brief Inside of a catalog, for the code that builds one.
 */
#ifndef PPS_CATALOG_PRIVATE_H
#define PPS_CATALOG_PRIVATE_H

#include "catalog/object.h"
#include "papayaswitch/catalog.h"

#include <stdatomic.h>

struct pps_catalog {
    atomic_uint references;
    uint64_t revision;
    pps_object_t *objects[PPS_OBJECT_KIND_COUNT]; /**< tables by name */
    pps_object_t *keys; /**< table of workspaces by key hash */
};

/** Finds an object by kind and name, or NULL. */
pps_object_t *
pps_catalog_find(const pps_catalog_t *catalog, pps_object_kind_t kind,
                 const char *name);

/** Adds an object; the catalog takes it over. */
void
pps_catalog_insert(pps_catalog_t *catalog, pps_object_t *object);

/** Finds a workspace in a table by key hash, or NULL. */
pps_object_t *
pps_key_table_find(pps_object_t *table,
                   const unsigned char hash[PPS_KEY_HASH_BYTES]);

/** Adds a workspace to a table by key hash. */
void
pps_key_table_insert(pps_object_t **table, pps_object_t *object);

/** Makes a deep copy that can still be changed. */
int
pps_catalog_copy(pps_catalog_t **out, const pps_catalog_t *catalog);

/**
 * Ends the building: orders the tables and indexes the key hashes.
 * The catalog must not change afterwards.
 */
void
pps_catalog_seal(pps_catalog_t *catalog);

/**
 * Adds a finding for all that does not hold between the objects.
 * @param note places of findings are taken from it; may be NULL
 */
void
pps_catalog_check(const pps_catalog_t *catalog, const pps_note_t *note,
                  const char *file, pps_findings_t *findings);

#endif
