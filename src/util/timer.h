/**
 * @file timer.h
 * @brief Timer queue for the periodic and one-off tasks of a module.
 *
 * It has no thread and reads no clock: the owner calls pps_timers_run() with
 * the current time, so that tests control the time. For use by one thread.
 */
#ifndef PPS_UTIL_TIMER_H
#define PPS_UTIL_TIMER_H

#include <stdint.h>
#include <urcu/list.h>

/** Zero-initialized subscription, embedded in the subscriber. */
typedef struct {
    struct cds_list_head node;
    int64_t due_us;
    int64_t period_us; /**< 0: fires once */
    void (*fire)(int64_t now_us, void *user);
    void *user;
} pps_timer_t;

/** Subscriptions in order of due time. */
typedef struct {
    struct cds_list_head queue;
} pps_timers_t;

/** Initializes an empty queue. */
void
pps_timers_init(pps_timers_t *timers);

/** Calls `fire` at `first_us`, then every `period_us` if that is not 0. */
void
pps_timers_subscribe(pps_timers_t *timers, pps_timer_t *timer,
                     int64_t first_us, int64_t period_us,
                     void (*fire)(int64_t now_us, void *user), void *user);

/** Cancels a subscription; does nothing if it has ended. */
void
pps_timers_cancel(pps_timer_t *timer);

/** Fires all due timers; a late timer does not catch up on missed periods.
 * @return the next due time, or INT64_MAX */
int64_t
pps_timers_run(pps_timers_t *timers, int64_t now_us);

#endif
