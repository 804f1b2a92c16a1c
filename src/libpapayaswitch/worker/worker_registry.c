/** @file worker_registry.c @brief Hands the newest view to traffic threads. */
#include "papayaswitch/errors.h"
#include "papayaswitch/worker_view.h"

#include <pthread.h>
#include <stdlib.h>

struct pps_worker_registry {
    pthread_mutex_t lock; /**< held to swap the pointer or count, no longer */
    pps_worker_view_t *view;
};

int
pps_worker_registry_new(pps_worker_registry_t **out)
{
    pps_worker_registry_t *board = calloc(1, sizeof(*board));
    int error;

    *out = NULL;
    if (board == NULL) {
        return pps_error_set(PPS_ENOMEM, "worker board: out of memory");
    }
    error = pps_worker_view_new(&board->view, NULL, NULL, 0);
    if (error < 0) {
        free(board);
        return error;
    }
    pthread_mutex_init(&board->lock, NULL);
    *out = board;
    return PPS_OK;
}

void
pps_worker_registry_free(pps_worker_registry_t *board)
{
    if (board == NULL) {
        return;
    }
    pps_worker_view_free(board->view);
    pthread_mutex_destroy(&board->lock);
    free(board);
}

void
pps_worker_registry_replace(pps_worker_registry_t *board,
                            pps_worker_view_t *view)
{
    pps_worker_view_t *before;

    pthread_mutex_lock(&board->lock);
    before = board->view;
    board->view = view;
    pthread_mutex_unlock(&board->lock);
    pps_worker_view_free(before);
}

pps_worker_view_t *
pps_worker_registry_acquire(pps_worker_registry_t *board)
{
    pps_worker_view_t *view;

    pthread_mutex_lock(&board->lock);
    view = pps_worker_view_ref(board->view);
    pthread_mutex_unlock(&board->lock);
    return view;
}
