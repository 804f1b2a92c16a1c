/**
 * @file reactor.h
 * @brief Event loop of an entry process. libuv serves sockets, the timer
 * service runs timers, and a clock reading is cached.
 */
#ifndef PPS_TRANSPORT_REACTOR_H
#define PPS_TRANSPORT_REACTOR_H

#include "timer.h"

#include <urcu/list.h>
#include <uv.h>

/** A task that runs once, before the loop polls for events again, or without a
 * wait in the next turn if another task starts it. Zero-initialize it. */
typedef struct {
    struct cds_list_head node;
    int is_pending;
    void (*run)(void *user);
    void *user;
} pps_deferred_t;

/** An event loop with its timers, used by one thread. */
typedef struct {
    uv_loop_t loop;
    uv_timer_t wake;
    uv_prepare_t prepare;
    uv_check_t check;
    pps_timers_t timers;
    struct cds_list_head deferred; /**< tasks, in the order of their start */
    int64_t (*read_clock)(void);   /**< microseconds; a test may replace it */
    int64_t now_us; /**< clock read before timers run and after polling */
    void (*before_poll)(void *user); /**< runs once an iteration, or NULL */
    void *user;
} pps_reactor_t;

/** Initializes a reactor. @return 0 or PPS_EIO */
int
pps_reactor_init(pps_reactor_t *reactor);

/** Runs the loop until pps_reactor_stop() is called. */
void
pps_reactor_run(pps_reactor_t *reactor);

/** Makes pps_reactor_run() return after this iteration. */
void
pps_reactor_stop(pps_reactor_t *reactor);

/** Schedules a timer to fire once, `delay_us` after `now_us`. A pending timer
 * is rescheduled. */
void
pps_reactor_after(pps_reactor_t *reactor, pps_timer_t *timer, int64_t delay_us,
                  void (*fire)(int64_t now_us, void *user), void *user);

/** Schedules a timer to fire every `period_us`, first after one period. */
void
pps_reactor_every(pps_reactor_t *reactor, pps_timer_t *timer,
                  int64_t period_us, void (*fire)(int64_t now_us, void *user),
                  void *user);

/** Runs a task before the loop polls for events again, after the timers that
 * are due. Does nothing if it is pending. */
void
pps_reactor_defer(pps_reactor_t *reactor, pps_deferred_t *task,
                  void (*run)(void *user), void *user);

/** Drops a pending task; does nothing if it is not pending. */
void
pps_reactor_cancel_deferred(pps_deferred_t *task);

#endif
