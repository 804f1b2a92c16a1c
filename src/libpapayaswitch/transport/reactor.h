/**
 * @file reactor.h
 * @brief The event loop of an entry process: sockets by libuv, timers by the
 * timer service, one cached clock reading a turn.
 */
#ifndef PPS_TRANSPORT_REACTOR_H
#define PPS_TRANSPORT_REACTOR_H

#include "timer.h"

#include <uv.h>

/** An event loop with its timers. One thread. */
typedef struct {
    uv_loop_t loop;
    uv_timer_t wake;
    uv_prepare_t prepare;
    uv_check_t check;
    pps_timers_t timers;
    int64_t now_us;                  /**< clock at the start of this turn */
    void (*before_poll)(void *user); /**< optional; called once a turn */
    void *user;
} pps_reactor_t;

/** Prepares a loop. @return 0 or PPS_EIO */
int
pps_reactor_init(pps_reactor_t *reactor);

/** Runs until pps_reactor_stop() is called. */
void
pps_reactor_run(pps_reactor_t *reactor);

/** Makes pps_reactor_run() return after this turn. */
void
pps_reactor_stop(pps_reactor_t *reactor);

/** Subscribes a timer that fires once, `delay_us` from now; a timer that is
 * waiting already is moved. */
void
pps_reactor_after(pps_reactor_t *reactor, pps_timer_t *timer, int64_t delay_us,
                  void (*fire)(int64_t now_us, void *user), void *user);

/** Subscribes a timer that fires each `period_us`. */
void
pps_reactor_every(pps_reactor_t *reactor, pps_timer_t *timer,
                  int64_t period_us, void (*fire)(int64_t now_us, void *user),
                  void *user);

#endif
