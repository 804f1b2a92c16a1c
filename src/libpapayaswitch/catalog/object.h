/**
 * @file object.h
 * @brief An upstream, version or workspace of a catalog.
 */
#ifndef PPS_CATALOG_OBJECT_H
#define PPS_CATALOG_OBJECT_H

#include "catalog/value.h"
#include "hash_table.h"

/** An object; owns everything that its public part points to. */
typedef struct {
    UT_hash_handle hh;     /**< in the table of its kind, keyed by name */
    UT_hash_handle by_key; /**< keyed by key hash, workspaces only */
    pps_object_kind_t kind;
    char *name;
    char *model;       /**< versions only */
    char *note;        /**< id of the note of the last change */
    uint64_t revision; /**< of the last change */
    union {
        pps_upstream_t upstream;
        pps_version_t version;
        pps_workspace_t workspace;
    } as; /**< public part, by `kind` */
} pps_object_t;

/** Creates an object with default values; required keys are zero. */
int
pps_object_new(pps_object_t **out, pps_object_kind_t kind, const char *name);

/** Creates a deep copy that is in no table. */
int
pps_object_copy(pps_object_t **out, const pps_object_t *object);

/** Frees an object; NULL is allowed. */
void
pps_object_free(pps_object_t *object);

/** Sets the revision and the note of the object's last change. */
int
pps_object_set_last_change(pps_object_t *object, uint64_t revision,
                           const char *note);

/** Returns whether all attributes are equal; ignores the last change. */
int
pps_object_equal(const pps_object_t *a, const pps_object_t *b);

#endif
