/**
 * @file catalog_private.h
 * @brief Fields of a catalog and the functions that build one.
 */
#ifndef PPS_CATALOG_PRIVATE_H
#define PPS_CATALOG_PRIVATE_H

#include "catalog/object.h"
#include "papayaswitch/catalog.h"

#include <stdatomic.h>

struct pps_catalog {
    atomic_uint references;
    uint64_t revision;
    pps_object_t *objects[PPS_OBJECT_KIND_COUNT]; /**< tables keyed by name */
    pps_object_t *keys; /**< workspaces, keyed by key hash */
};

/** Returns the object of that kind and name, or NULL. */
pps_object_t *
pps_catalog_find(const pps_catalog_t *catalog, pps_object_kind_t kind,
                 const char *name);

/** Adds an object and takes ownership of it. */
void
pps_catalog_insert(pps_catalog_t *catalog, pps_object_t *object);

/** Returns the workspace with that key hash, or NULL. */
pps_object_t *
pps_key_table_find(pps_object_t *table,
                   const unsigned char hash[PPS_KEY_HASH_BYTES]);

/** Adds a workspace to a table keyed by key hash. */
void
pps_key_table_insert(pps_object_t **table, pps_object_t *object);

/** Creates a deep, unsealed copy. @return 0 or PPS_ENOMEM */
int
pps_catalog_copy(pps_catalog_t **out, const pps_catalog_t *catalog);

/**
 * Sorts the tables by name and indexes the key hashes. The catalog must not
 * change afterwards.
 */
void
pps_catalog_seal(pps_catalog_t *catalog);

/**
 * Adds a finding for each violated constraint between objects.
 * @param note source of the findings' line numbers; NULL: line 0
 */
void
pps_catalog_check(const pps_catalog_t *catalog, const pps_note_t *note,
                  const char *file, pps_findings_t *findings);

#endif
