/**
 * @file harness_standin.h
 * @brief Helpers that start stand-ins and set their faults, for tests.
 */
#ifndef PPS_TESTS_HARNESS_STANDIN_H
#define PPS_TESTS_HARNESS_STANDIN_H

#include "harness.h"

/**
 * Starts a stand-in with at most one option; fails the test on an error.
 * @param option the option's name, or NULL
 * @param value the option's value, or NULL
 * @return its port
 */
int
harness_start_standin(harness_t *harness, const char *program,
                      const char *option, const char *value);

/** Changes the faults, given as JSON; fails the test if they are rejected. */
void
harness_set_faults(int port, const char *faults);

#endif
