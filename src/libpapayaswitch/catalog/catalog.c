/** @file catalog.c @brief Immutable tables of a catalog's objects. */
#include "papayaswitch/catalog.h"

#include "catalog/catalog_private.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_catalog_new(pps_catalog_t **out)
{
    *out = calloc(1, sizeof(**out));
    if (*out == NULL) {
        return pps_error_set(PPS_ENOMEM, "catalog: out of memory");
    }
    atomic_init(&(*out)->references, 1);
    return PPS_OK;
}

pps_catalog_t *
pps_catalog_ref(const pps_catalog_t *catalog)
{
    pps_catalog_t *shared = (pps_catalog_t *)catalog;

    atomic_fetch_add_explicit(&shared->references, 1, memory_order_relaxed);
    return shared;
}

static void
free_objects(pps_object_t **table)
{
    pps_object_t *object;
    pps_object_t *next;

    HASH_ITER (hh, *table, object, next) {
        HASH_DEL(*table, object);
        pps_object_free(object);
    }
}

void
pps_catalog_free(pps_catalog_t *catalog)
{
    if (catalog == NULL ||
        atomic_fetch_sub_explicit(&catalog->references, 1,
                                  memory_order_acq_rel) != 1) {
        return;
    }
    HASH_CLEAR(by_key, catalog->keys);
    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        free_objects(&catalog->objects[kind]);
    }
    free(catalog);
}

uint64_t
pps_catalog_revision(const pps_catalog_t *catalog)
{
    return catalog->revision;
}

pps_object_t *
pps_catalog_find(const pps_catalog_t *catalog, pps_object_kind_t kind,
                 const char *name)
{
    pps_object_t *object;

    HASH_FIND_STR(catalog->objects[kind], name, object);
    return object;
}

void
/* NOLINTNEXTLINE(readability-function-size): the macro expansion counts. */
pps_catalog_insert(pps_catalog_t *catalog, pps_object_t *object)
{
    pps_object_t **table = &catalog->objects[object->kind];

    HASH_ADD_KEYPTR(hh, *table, object->name, strlen(object->name), object);
}

int
pps_catalog_copy(pps_catalog_t **out, const pps_catalog_t *catalog)
{
    pps_catalog_t *copy;
    int error = pps_catalog_new(&copy);

    if (error < 0) {
        return error;
    }
    copy->revision = catalog->revision;
    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        for (const pps_object_t *object = catalog->objects[kind];
             object != NULL; object = object->hh.next) {
            pps_object_t *object_copy;

            error = pps_object_copy(&object_copy, object);
            if (error < 0) {
                pps_catalog_free(copy);
                return error;
            }
            pps_catalog_insert(copy, object_copy);
        }
    }
    *out = copy;
    return PPS_OK;
}

static int
compare_names(const pps_object_t *a, const pps_object_t *b)
{
    return strcmp(a->name, b->name);
}

pps_object_t *
pps_key_table_find(pps_object_t *table,
                   const unsigned char hash[PPS_KEY_HASH_BYTES])
{
    pps_object_t *object;

    HASH_FIND(by_key, table, hash, PPS_KEY_HASH_BYTES, object);
    return object;
}

void
/* NOLINTNEXTLINE(readability-function-size): the macro expansion counts. */
pps_key_table_insert(pps_object_t **table, pps_object_t *object)
{
    HASH_ADD_KEYPTR(by_key, *table, object->as.workspace.key_hash,
                    PPS_KEY_HASH_BYTES, object);
}

void
pps_catalog_seal(pps_catalog_t *catalog)
{
    pps_object_t *object;

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        HASH_SRT(hh, catalog->objects[kind], compare_names);
    }
    for (object = catalog->objects[PPS_OBJECT_WORKSPACE]; object != NULL;
         object = object->hh.next) {
        pps_key_table_insert(&catalog->keys, object);
    }
}

const pps_version_t *
pps_catalog_version(const pps_catalog_t *catalog, const char *name)
{
    const pps_object_t *object =
        pps_catalog_find(catalog, PPS_OBJECT_VERSION, name);

    return object ? &object->as.version : NULL;
}

const pps_workspace_t *
pps_catalog_workspace(const pps_catalog_t *catalog, const char *name)
{
    const pps_object_t *object =
        pps_catalog_find(catalog, PPS_OBJECT_WORKSPACE, name);

    return object ? &object->as.workspace : NULL;
}

const pps_upstream_t *
pps_catalog_upstream(const pps_catalog_t *catalog, const char *name)
{
    const pps_object_t *object =
        pps_catalog_find(catalog, PPS_OBJECT_UPSTREAM, name);

    return object ? &object->as.upstream : NULL;
}

const pps_workspace_t *
pps_catalog_workspace_by_key(const pps_catalog_t *catalog,
                             const unsigned char hash[PPS_KEY_HASH_BYTES])
{
    const pps_object_t *object = pps_key_table_find(catalog->keys, hash);

    return object ? &object->as.workspace : NULL;
}

static int
compare_items(const void *name, const void *item)
{
    return strcmp(name, *(const char *const *)item);
}

int
pps_workspace_allows(const pps_workspace_t *workspace, const char *version)
{
    return workspace->allow_count > 0 &&
           bsearch(version, workspace->allow, workspace->allow_count,
                   sizeof(*workspace->allow), compare_items) != NULL;
}

int
pps_catalog_version_foreach(const pps_catalog_t *catalog,
                            int (*visit)(const pps_version_t *, void *),
                            void *user)
{
    const pps_object_t *object = catalog->objects[PPS_OBJECT_VERSION];
    int stop = 0;

    for (; object != NULL && stop == 0; object = object->hh.next) {
        stop = visit(&object->as.version, user);
    }
    return stop;
}

int
pps_catalog_workspace_foreach(const pps_catalog_t *catalog,
                              int (*visit)(const pps_workspace_t *, void *),
                              void *user)
{
    const pps_object_t *object = catalog->objects[PPS_OBJECT_WORKSPACE];
    int stop = 0;

    for (; object != NULL && stop == 0; object = object->hh.next) {
        stop = visit(&object->as.workspace, user);
    }
    return stop;
}

int
pps_catalog_upstream_foreach(const pps_catalog_t *catalog,
                             int (*visit)(const pps_upstream_t *, void *),
                             void *user)
{
    const pps_object_t *object = catalog->objects[PPS_OBJECT_UPSTREAM];
    int stop = 0;

    for (; object != NULL && stop == 0; object = object->hh.next) {
        stop = visit(&object->as.upstream, user);
    }
    return stop;
}
