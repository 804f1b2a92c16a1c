/** @file reactor.c @brief Drives the timer service from a libuv loop. */
#include "reactor.h"

#include "clock.h"
#include "papayaswitch/errors.h"

/** Timers may fire this late, so that those due together share a wake-up. */
#define TIMER_SLACK_MS 4

static void
on_wake(uv_timer_t *timer)
{
}

static void
on_check(uv_check_t *check)
{
    pps_reactor_t *reactor = check->data;

    reactor->now_us = reactor->read_clock();
}

/* Runs the tasks that are pending. Those that they start follow in the next
 * turn of the loop, which also polls. */
static void
run_deferred(pps_reactor_t *reactor)
{
    CDS_LIST_HEAD(batch);

    cds_list_splice(&reactor->deferred, &batch);
    CDS_INIT_LIST_HEAD(&reactor->deferred);
    while (!cds_list_empty(&batch)) {
        pps_deferred_t *task =
            cds_list_first_entry(&batch, pps_deferred_t, node);

        pps_reactor_cancel_deferred(task);
        task->run(task->user);
    }
}

static void
on_prepare(uv_prepare_t *prepare)
{
    pps_reactor_t *reactor = prepare->data;
    int64_t next_due_us;
    int64_t delay_ms;

    reactor->now_us = reactor->read_clock();
    next_due_us = pps_timers_run(&reactor->timers, reactor->now_us);
    run_deferred(reactor);
    if (reactor->before_poll != NULL) {
        reactor->before_poll(reactor->user);
    }
    if (!cds_list_empty(&reactor->deferred)) {
        uv_timer_start(&reactor->wake, on_wake, 0, 0);
        return;
    }
    if (next_due_us == INT64_MAX) {
        uv_timer_stop(&reactor->wake);
        return;
    }
    delay_ms =
        (next_due_us - reactor->now_us) / PPS_US_PER_MS + TIMER_SLACK_MS;
    uv_timer_start(&reactor->wake, on_wake, (uint64_t)delay_ms, 0);
}

int
pps_reactor_init(pps_reactor_t *reactor)
{
    int error = uv_loop_init(&reactor->loop);

    if (error != 0) {
        return pps_error_set(PPS_EIO, "event loop: %s", uv_strerror(error));
    }
    reactor->before_poll = NULL;
    reactor->user = NULL;
    reactor->read_clock = pps_clock_now_us;
    reactor->now_us = reactor->read_clock();
    pps_timers_init(&reactor->timers);
    CDS_INIT_LIST_HEAD(&reactor->deferred);
    uv_timer_init(&reactor->loop, &reactor->wake);
    uv_prepare_init(&reactor->loop, &reactor->prepare);
    uv_check_init(&reactor->loop, &reactor->check);
    reactor->prepare.data = reactor;
    reactor->check.data = reactor;
    uv_prepare_start(&reactor->prepare, on_prepare);
    uv_check_start(&reactor->check, on_check);
    return PPS_OK;
}

void
pps_reactor_run(pps_reactor_t *reactor)
{
    uv_run(&reactor->loop, UV_RUN_DEFAULT);
}

void
pps_reactor_stop(pps_reactor_t *reactor)
{
    uv_stop(&reactor->loop);
}

void
pps_reactor_after(pps_reactor_t *reactor, pps_timer_t *timer, int64_t delay_us,
                  void (*fire)(int64_t now_us, void *user), void *user)
{
    pps_timers_cancel(timer);
    pps_timers_subscribe(&reactor->timers, timer, reactor->now_us + delay_us,
                         0, fire, user);
}

void
pps_reactor_every(pps_reactor_t *reactor, pps_timer_t *timer,
                  int64_t period_us, void (*fire)(int64_t now_us, void *user),
                  void *user)
{
    pps_timers_cancel(timer);
    pps_timers_subscribe(&reactor->timers, timer, reactor->now_us + period_us,
                         period_us, fire, user);
}

void
pps_reactor_defer(pps_reactor_t *reactor, pps_deferred_t *task,
                  void (*run)(void *user), void *user)
{
    if (task->is_pending) {
        return;
    }
    task->is_pending = 1;
    task->run = run;
    task->user = user;
    cds_list_add_tail(&task->node, &reactor->deferred);
}

void
pps_reactor_cancel_deferred(pps_deferred_t *task)
{
    if (task->is_pending) {
        task->is_pending = 0;
        cds_list_del(&task->node);
    }
}
