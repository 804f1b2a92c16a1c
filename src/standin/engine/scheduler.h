/**
 * @file scheduler.h
 * @brief Simulates continuous batching: a step advances the runs in all slots.
 */
#ifndef STANDIN_SCHEDULER_H
#define STANDIN_SCHEDULER_H

#include "run.h"

#include <pthread.h>
#include <stdatomic.h>

/** Queued and running generations. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t stepped; /**< signaled after a step or the end of a run */
    pthread_cond_t added;
    struct cds_list_head queued; /**< highest priority first */
    struct cds_list_head running;
    int queued_count;
    int running_count;
    int slots;
    int queue_max;
    int64_t token_us;   /**< duration of a step */
    double slow_factor; /**< multiplies the duration of a step */
    int stopping;
    pthread_t thread;
    /** Called under the lock when the counts change. */
    void (*on_change)(void *user);
    void *user;
} scheduler_t;

/** Starts the thread that executes the steps. */
int
scheduler_start(scheduler_t *scheduler);

/** Cancels all runs and joins the thread. */
void
scheduler_stop(scheduler_t *scheduler);

/** Queues a run and adds a reference to it. The caller holds the lock. */
void
scheduler_add(scheduler_t *scheduler, run_t *run);

/** Returns whether slots and queue are full. The caller holds the lock. */
int
scheduler_is_full(const scheduler_t *scheduler);

/** Cancels the run unless it has ended. The caller holds the lock. */
void
scheduler_cancel(scheduler_t *scheduler, run_t *run);

/** Cancels the runs of a request id, or all runs if it is NULL. The caller
 * holds the lock. @return the number of cancelled runs */
int
scheduler_cancel_id(scheduler_t *scheduler, const char *request_id);

/** Cancels the run unless it has ended; releases the caller's reference. */
void
scheduler_release(scheduler_t *scheduler, run_t *run);

#endif
