/**
 * @file play_clock.h
 * @brief Simulated time for plays in which one thread runs all processes.
 *
 * Time advances by a fixed step with each reading, and not while the thread
 * waits for a processor, so that a play takes the same course on a busy
 * machine.
 */
#ifndef PPS_TESTS_ENTRY_PLAY_CLOCK_H
#define PPS_TESTS_ENTRY_PLAY_CLOCK_H

#include "transport/reactor.h"

/** Lets a reactor that was just initialized run in simulated time. */
void
play_clock_use(pps_reactor_t *reactor);

/** Runs the loop for a simulated time. */
void
play_clock_run_for(pps_reactor_t *reactor, unsigned int ms);

#endif
