/** @file worker_registry.c @brief Shares the current view between threads. */
#include "papayaswitch/errors.h"
#include "papayaswitch/worker_view.h"

#include <pthread.h>
#include <stdlib.h>

struct pps_worker_registry {
    pthread_mutex_t lock; /**< protects `view`; held only to copy or swap it */
    pps_worker_view_t *view;
};

int
pps_worker_registry_new(pps_worker_registry_t **out)
{
    pps_worker_registry_t *registry = calloc(1, sizeof(*registry));
    int error;

    *out = NULL;
    if (registry == NULL) {
        return pps_error_set(PPS_ENOMEM, "worker registry: out of memory");
    }
    error = pps_worker_view_new(&registry->view, NULL, NULL, 0);
    if (error < 0) {
        free(registry);
        return error;
    }
    pthread_mutex_init(&registry->lock, NULL);
    *out = registry;
    return PPS_OK;
}

void
pps_worker_registry_free(pps_worker_registry_t *registry)
{
    if (registry == NULL) {
        return;
    }
    pps_worker_view_free(registry->view);
    pthread_mutex_destroy(&registry->lock);
    free(registry);
}

void
pps_worker_registry_replace(pps_worker_registry_t *registry,
                            pps_worker_view_t *view)
{
    pps_worker_view_t *previous;

    pthread_mutex_lock(&registry->lock);
    previous = registry->view;
    registry->view = view;
    pthread_mutex_unlock(&registry->lock);
    pps_worker_view_free(previous);
}

pps_worker_view_t *
pps_worker_registry_acquire(pps_worker_registry_t *registry)
{
    pps_worker_view_t *view;

    pthread_mutex_lock(&registry->lock);
    view = pps_worker_view_ref(registry->view);
    pthread_mutex_unlock(&registry->lock);
    return view;
}
