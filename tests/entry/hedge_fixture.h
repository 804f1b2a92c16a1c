/**
 * @file hedge_fixture.h
 * @brief Runs a host that knows the usual wait and may copy slow requests.
 */
#ifndef PPS_TESTS_ENTRY_HEDGE_FIXTURE_H
#define PPS_TESTS_ENTRY_HEDGE_FIXTURE_H

#include "exchange_fixture.h"

/** Number of replies in a script. */
#define HEDGE_SCRIPT_SIZE 4

/** Time in which a copy must have been sent, or must not. */
#define HEDGE_COPY_MS 300

/** A worker that does not answer. */
#define HEDGE_SILENT                                                          \
    {                                                                         \
        NULL, NET_KEEP                                                        \
    }

/** Starts the host; the workers share the script. @param share as in
 * pps_dispatch_options_t @return the state of their upstream */
pps_upstream_state_t *
hedge_start(fixture_t *fixture, const net_answer_t *script, double share);

/** Runs the loop until the workers have got `count` requests; fails the test
 * if they don't within HEDGE_COPY_MS. */
void
hedge_run_until_sent(fixture_t *fixture, size_t count);

#endif
