/** @file soak_missed.h @brief Checks that no host has missed a record. */
#ifndef PPS_TESTS_SOAK_SOAK_MISSED_H
#define PPS_TESTS_SOAK_SOAK_MISSED_H

#include "soak.h"

/** Checks the logs of the hosts, unless hosts of an earlier build run too. */
void
missed_check(soak_t *soak);

#endif
