/** @file worker_view.c @brief Immutable, reference-counted worker lists. */
#include "papayaswitch/errors.h"
#include "worker/worker_runtime.h"

#include <stdlib.h>
#include <string.h>

/** An entry of the index by id. */
typedef struct {
    const pps_worker_t *worker;
} entry_t;

struct pps_worker_view {
    _Atomic int references;
    size_t count;
    entry_t *by_id; /**< sorted by id */
    pps_worker_t workers[];
};

static void
worker_clear(pps_worker_t *worker)
{
    free((char *)worker->id);
    free((char *)worker->upstream);
    free((char *)worker->address);
    free((char *)worker->failure_domain);
    pps_worker_runtime_free(worker->runtime);
}

static void
view_destroy(pps_worker_view_t *view)
{
    for (size_t i = 0; i < view->count; i++) {
        worker_clear(&view->workers[i]);
    }
    free(view->by_id);
    free(view);
}

/** Returns 0 on a change of address, port or upstream; it resets the state. */
static int
is_same_process(const pps_worker_t *a, const pps_worker_t *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0 &&
           strcmp(a->upstream, b->upstream) == 0;
}

static int
attach_runtime(pps_worker_t *worker, const pps_worker_view_t *previous)
{
    const pps_worker_t *before = NULL;

    if (previous != NULL) {
        before = pps_worker_view_find(previous, worker->id);
    }
    if (before != NULL && is_same_process(before, worker)) {
        worker->runtime = pps_worker_runtime_ref(before->runtime);
        return PPS_OK;
    }
    return pps_worker_runtime_new(&worker->runtime);
}

static int
worker_copy(pps_worker_t *out, const pps_worker_t *from,
            const pps_worker_view_t *previous)
{
    *out = *from;
    out->runtime = NULL;
    out->id = strdup(from->id);
    out->upstream = strdup(from->upstream);
    out->address = strdup(from->address);
    out->failure_domain = strdup(from->failure_domain);
    if (out->id == NULL || out->upstream == NULL || out->address == NULL ||
        out->failure_domain == NULL) {
        return pps_error_set(PPS_ENOMEM, "worker: out of memory");
    }
    return attach_runtime(out, previous);
}

static int
compare_ids(const void *left, const void *right)
{
    const entry_t *a = left;
    const entry_t *b = right;

    return strcmp(a->worker->id, b->worker->id);
}

static int
index_ids(pps_worker_view_t *view)
{
    view->by_id = calloc(view->count + 1, sizeof(*view->by_id));
    if (view->by_id == NULL) {
        return pps_error_set(PPS_ENOMEM, "workers: out of memory");
    }
    for (size_t i = 0; i < view->count; i++) {
        view->by_id[i].worker = &view->workers[i];
    }
    qsort(view->by_id, view->count, sizeof(*view->by_id), compare_ids);
    for (size_t i = 1; i < view->count; i++) {
        if (compare_ids(&view->by_id[i - 1], &view->by_id[i]) == 0) {
            return pps_error_set(PPS_EEXISTS, "worker %s is listed twice",
                                 view->by_id[i].worker->id);
        }
    }
    return PPS_OK;
}

int
pps_worker_view_new(pps_worker_view_t **out, const pps_worker_view_t *previous,
                    const pps_worker_t *workers, size_t count)
{
    pps_worker_view_t *view;
    int error = PPS_OK;

    *out = NULL;
    view = calloc(1, sizeof(*view) + count * sizeof(view->workers[0]));
    if (view == NULL) {
        return pps_error_set(PPS_ENOMEM, "workers: out of memory");
    }
    atomic_init(&view->references, 1);
    for (size_t i = 0; i < count && error == PPS_OK; i++) {
        error = worker_copy(&view->workers[i], &workers[i], previous);
        view->count++;
    }
    if (error == PPS_OK) {
        error = index_ids(view);
    }
    if (error < 0) {
        view_destroy(view);
        return error;
    }
    *out = view;
    return PPS_OK;
}

pps_worker_view_t *
pps_worker_view_ref(pps_worker_view_t *view)
{
    atomic_fetch_add(&view->references, 1);
    return view;
}

void
pps_worker_view_free(pps_worker_view_t *view)
{
    if (view != NULL && atomic_fetch_sub(&view->references, 1) == 1) {
        view_destroy(view);
    }
}

size_t
pps_worker_view_count(const pps_worker_view_t *view)
{
    return view->count;
}

const pps_worker_t *
pps_worker_view_at(const pps_worker_view_t *view, size_t index)
{
    return index < view->count ? &view->workers[index] : NULL;
}

const pps_worker_t *
pps_worker_view_find(const pps_worker_view_t *view, const char *id)
{
    const pps_worker_t wanted = {.id = id};
    const entry_t key = {&wanted};
    const entry_t *found = bsearch(&key, view->by_id, view->count,
                                   sizeof(*view->by_id), compare_ids);

    return found != NULL ? found->worker : NULL;
}
