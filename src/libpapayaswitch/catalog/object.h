/**
 * @file object.h
 * @brief One upstream, version or workspace of a catalog.
 */
#ifndef PPS_CATALOG_OBJECT_H
#define PPS_CATALOG_OBJECT_H

#include "catalog/value.h"
#include "hash_table.h"

/** An object; owns all that its public part points to. */
typedef struct {
    UT_hash_handle hh;     /**< by name, in its kind's table */
    UT_hash_handle by_key; /**< by key hash, workspaces only */
    pps_object_kind_t kind;
    char *name;
    char *model; /**< versions only */
    char *note;
    uint64_t revision;
    union {
        pps_upstream_t upstream;
        pps_version_t version;
        pps_workspace_t workspace;
    } as;
} pps_object_t;

/** Makes an object with the fallback values; required ones stay empty. */
int
pps_object_new(pps_object_t **out, pps_object_kind_t kind, const char *name);

/** Makes a deep copy that is in no table. */
int
pps_object_copy(pps_object_t **out, const pps_object_t *object);

/** Frees an object; NULL is allowed. */
void
pps_object_free(pps_object_t *object);

/** Sets the revision and the note that last changed the object. */
int
pps_object_stamp(pps_object_t *object, uint64_t revision, const char *note);

/** Whether all attributes are the same; the stamps may differ. */
int
pps_object_equal(const pps_object_t *a, const pps_object_t *b);

#endif
