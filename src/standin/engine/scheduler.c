/** @file scheduler.c @brief Advances the runs in token steps. */
#include "scheduler.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <string.h>

static void
end_run(scheduler_t *scheduler, run_t *run, run_state_t state)
{
    cds_list_del(&run->node);
    run->state = state;
    run->entry->state = state;
    run->entry->finished |= state == RUN_DONE;
    scheduler->on_change(scheduler->user);
    pthread_cond_broadcast(&scheduler->stepped);
    run_unref(run);
}

static run_t *
find_run(struct cds_list_head *list, const run_t *target)
{
    run_t *run;

    cds_list_for_each_entry (run, list, node) {
        if (run == target) {
            return run;
        }
    }
    return NULL;
}

void
scheduler_cancel(scheduler_t *scheduler, run_t *run)
{
    if (find_run(&scheduler->running, run) != NULL) {
        scheduler->running_count--;
        end_run(scheduler, run, RUN_CANCELLED);
    }
    else if (find_run(&scheduler->queued, run) != NULL) {
        scheduler->queued_count--;
        end_run(scheduler, run, RUN_CANCELLED);
    }
}

static int
cancel_matching(scheduler_t *scheduler, struct cds_list_head *list,
                const char *request_id)
{
    run_t *run;
    run_t *next;
    int count = 0;

    cds_list_for_each_entry_safe (run, next, list, node) {
        if (request_id == NULL || strcmp(run->request_id, request_id) == 0) {
            scheduler_cancel(scheduler, run);
            count++;
        }
    }
    return count;
}

int
scheduler_cancel_id(scheduler_t *scheduler, const char *request_id)
{
    return cancel_matching(scheduler, &scheduler->running, request_id) +
           cancel_matching(scheduler, &scheduler->queued, request_id);
}

void
scheduler_release(scheduler_t *scheduler, run_t *run)
{
    pthread_mutex_lock(&scheduler->lock);
    scheduler_cancel(scheduler, run);
    run_unref(run);
    pthread_mutex_unlock(&scheduler->lock);
}

int
scheduler_is_full(const scheduler_t *scheduler)
{
    return scheduler->running_count + scheduler->queued_count >=
           scheduler->slots + scheduler->queue_max;
}

void
scheduler_add(scheduler_t *scheduler, run_t *run)
{
    struct cds_list_head *after = scheduler->queued.prev;

    while (after != &scheduler->queued &&
           cds_list_entry(after, run_t, node)->priority < run->priority) {
        after = after->prev;
    }
    run->reference_count++;
    cds_list_add(&run->node, after);
    scheduler->queued_count++;
    scheduler->on_change(scheduler->user);
    pthread_cond_signal(&scheduler->added);
}

static void
fill_slots(scheduler_t *scheduler)
{
    while (scheduler->running_count < scheduler->slots &&
           scheduler->queued_count > 0) {
        run_t *run = cds_list_first_entry(&scheduler->queued, run_t, node);

        cds_list_move(&run->node, &scheduler->running);
        scheduler->queued_count--;
        scheduler->running_count++;
        scheduler->on_change(scheduler->user);
    }
}

static void
step_all(scheduler_t *scheduler, int64_t step_us)
{
    run_t *run;
    run_t *next;

    cds_list_for_each_entry_safe (run, next, &scheduler->running, node) {
        if (run_step(run, step_us)) {
            scheduler->running_count--;
            end_run(scheduler, run, RUN_DONE);
        }
    }
    pthread_cond_broadcast(&scheduler->stepped);
}

static int64_t
sleep_until(scheduler_t *scheduler, int64_t due_us)
{
    int64_t now_us = pps_clock_now_us();

    pthread_mutex_unlock(&scheduler->lock);
    if (due_us > now_us) {
        pps_clock_sleep_us(due_us - now_us);
    }
    else {
        due_us = now_us;
    }
    pthread_mutex_lock(&scheduler->lock);
    return due_us;
}

static void *
run_thread(void *user)
{
    scheduler_t *scheduler = user;
    int64_t due_us = pps_clock_now_us();

    pthread_mutex_lock(&scheduler->lock);
    while (!scheduler->stopping) {
        int64_t step_us =
            (int64_t)((double)scheduler->token_us * scheduler->slow_factor);

        fill_slots(scheduler);
        if (scheduler->running_count == 0) {
            pthread_cond_wait(&scheduler->added, &scheduler->lock);
            due_us = pps_clock_now_us();
            continue;
        }
        due_us = sleep_until(scheduler, due_us + step_us);
        step_all(scheduler, scheduler->token_us);
    }
    pthread_mutex_unlock(&scheduler->lock);
    return NULL;
}

int
scheduler_start(scheduler_t *scheduler)
{
    pthread_mutex_init(&scheduler->lock, NULL);
    pthread_cond_init(&scheduler->stepped, NULL);
    pthread_cond_init(&scheduler->added, NULL);
    CDS_INIT_LIST_HEAD(&scheduler->queued);
    CDS_INIT_LIST_HEAD(&scheduler->running);
    if (pthread_create(&scheduler->thread, NULL, run_thread, scheduler) != 0) {
        return pps_error_set(PPS_EIO,
                             "scheduler: the thread could not be started");
    }
    return PPS_OK;
}

void
scheduler_stop(scheduler_t *scheduler)
{
    pthread_mutex_lock(&scheduler->lock);
    scheduler->stopping = 1;
    scheduler_cancel_id(scheduler, NULL);
    pthread_cond_signal(&scheduler->added);
    pthread_mutex_unlock(&scheduler->lock);
    pthread_join(scheduler->thread, NULL);
}
