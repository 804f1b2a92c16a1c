/** @file timer.c @brief Keeps timer subscriptions ordered by due time. */
#include "timer.h"

#include <stddef.h>

void
pps_timers_init(pps_timers_t *timers)
{
    CDS_INIT_LIST_HEAD(&timers->queue);
}

static void
insert_ordered(pps_timers_t *timers, pps_timer_t *timer)
{
    struct cds_list_head *at = timers->queue.prev;

    while (at != &timers->queue &&
           cds_list_entry(at, pps_timer_t, node)->due_us > timer->due_us) {
        at = at->prev;
    }
    cds_list_add(&timer->node, at);
}

void
pps_timers_subscribe(pps_timers_t *timers, pps_timer_t *timer,
                     int64_t first_us, int64_t period_us,
                     void (*fire)(int64_t now_us, void *user), void *user)
{
    timer->due_us = first_us;
    timer->period_us = period_us;
    timer->fire = fire;
    timer->user = user;
    insert_ordered(timers, timer);
}

void
pps_timers_cancel(pps_timer_t *timer)
{
    if (timer->node.next != NULL) {
        cds_list_del(&timer->node);
        timer->node.next = NULL;
    }
}

int64_t
pps_timers_run(pps_timers_t *timers, int64_t now_us)
{
    while (!cds_list_empty(&timers->queue)) {
        pps_timer_t *timer =
            cds_list_first_entry(&timers->queue, pps_timer_t, node);

        if (timer->due_us > now_us) {
            return timer->due_us;
        }
        pps_timers_cancel(timer);
        if (timer->period_us > 0) {
            timer->due_us = now_us + timer->period_us;
            insert_ordered(timers, timer);
        }
        timer->fire(now_us, timer->user);
    }
    return INT64_MAX;
}
