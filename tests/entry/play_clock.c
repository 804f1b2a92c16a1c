/** @file play_clock.c @brief Implements simulated time. */
#include "play_clock.h"

#include "clock.h"

/** Time between two readings. The loop reads the clock twice in a turn, and
 * events of sockets arrive in the next one. */
#define READING_STEP_US 100

static int64_t simulated_us;

static int64_t
read_clock(void)
{
    simulated_us += READING_STEP_US;
    return simulated_us;
}

void
play_clock_use(pps_reactor_t *reactor)
{
    simulated_us = pps_clock_now_us();
    reactor->read_clock = read_clock;
}

void
play_clock_run_for(pps_reactor_t *reactor, unsigned int ms)
{
    int64_t end_us = reactor->now_us + ms * PPS_US_PER_MS;

    while (reactor->now_us < end_us) {
        uv_run(&reactor->loop, UV_RUN_NOWAIT);
    }
}
