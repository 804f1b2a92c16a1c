/**
 * @file scheduler.h
 * @brief Continuous batching: all runs in a slot get a token each step.
 */
#ifndef STANDIN_SCHEDULER_H
#define STANDIN_SCHEDULER_H

#include "run.h"

#include <pthread.h>
#include <stdatomic.h>

/** Queue and slots. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t stepped; /**< a step was made, or a run has ended */
    pthread_cond_t added;
    struct cds_list_head queued; /**< highest priority first */
    struct cds_list_head running;
    int queued_count;
    int running_count;
    int slots;
    int queue_max;
    int64_t token_us;
    double slow_factor;
    int stopping;
    pthread_t thread;
    void (*on_change)(void *user); /**< the counts changed; lock is held */
    void *user;
} scheduler_t;

/** Starts the thread that steps. */
int
scheduler_start(scheduler_t *scheduler);

/** Ends the thread and cancels all runs. */
void
scheduler_stop(scheduler_t *scheduler);

/** Puts a run in the queue, with a reference. Lock held. */
void
scheduler_add(scheduler_t *scheduler, run_t *run);

/** Whether no run may be added. Lock held. */
int
scheduler_full(const scheduler_t *scheduler);

/** Cancels the run unless it has ended. Lock held. */
void
scheduler_cancel(scheduler_t *scheduler, run_t *run);

/** Cancels every run of a request id. Lock held. @return how many */
int
scheduler_cancel_id(scheduler_t *scheduler, const char *request_id);

/** Gives the caller's reference back; cancels what has not ended. */
void
scheduler_release(scheduler_t *scheduler, run_t *run);

#endif
