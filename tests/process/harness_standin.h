/**
 * @file harness_start_standin.h
 * @brief Short forms for tests with stand-ins.
 */
#ifndef PPS_TESTS_HARNESS_STANDIN_H
#define PPS_TESTS_HARNESS_STANDIN_H

#include "harness.h"

/**
 * Starts a program with one option; fails the test unless it serves.
 * @param option option, or NULL for none
 * @param value the option's value, or NULL for none
 * @return its port
 */
int
harness_start_standin(harness_t *harness, const char *program,
                      const char *option, const char *value);

/** Switches faults, given as JSON; fails the test when they are refused. */
void
harness_set_faults(int port, const char *faults);

#endif
