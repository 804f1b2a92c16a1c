/**
 * @file wait.h
 * @brief Waits on conditions until a time of pps_clock_now_us().
 */
#ifndef PPS_COMMIT_WAIT_H
#define PPS_COMMIT_WAIT_H

#include <pthread.h>
#include <stdint.h>

/** Initialises a condition for pps_wait_until(). */
void
pps_wait_cond_init(pthread_cond_t *cond);

/**
 * Waits until signalled, until `deadline_us` or for one second, whichever is
 * first. The caller checks its condition and calls again.
 * @return 0; PPS_ETIMEOUT without a wait when `deadline_us` has passed
 */
int
pps_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex,
               int64_t deadline_us);

#endif
