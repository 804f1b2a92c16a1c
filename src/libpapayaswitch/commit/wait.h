/**
 * @file wait.h
 * @brief Condition variables that wait for a time of pps_clock_now_us().
 */
#ifndef PPS_COMMIT_WAIT_H
#define PPS_COMMIT_WAIT_H

#include <pthread.h>
#include <stdint.h>

/** Starts a condition that pps_wait_until() can wait on. */
void
pps_wait_cond_init(pthread_cond_t *cond);

/**
 * Waits until signalled or until `deadline_us`.
 * @return 0 or PPS_ETIMEOUT
 */
int
pps_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex,
               int64_t deadline_us);

#endif
