/**
 * @file steady_clock.h
 * @brief Time of tests in which one thread runs the host, its workers and its
 * callers.
 *
 * It follows the real time, but a turn of the event loop counts for
 * STEADY_CLOCK_TURN_MAX_US at most. A thread that waits for a processor on a
 * busy machine therefore uses up no timeout.
 */
#ifndef PPS_TESTS_ENTRY_STEADY_CLOCK_H
#define PPS_TESTS_ENTRY_STEADY_CLOCK_H

#include "transport/reactor.h"

/** Most time between two readings that counts. */
#define STEADY_CLOCK_TURN_MAX_US 5000

/** @return the time in microseconds */
int64_t
steady_clock_now_us(void);

/** Initializes a reactor that runs in this time; fails the test if it can't.
 * Run it with net_run_until() and the functions beside it, which wake the loop
 * often enough. */
void
steady_clock_init_reactor(pps_reactor_t *reactor);

#endif
