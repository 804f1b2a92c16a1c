/** @file wait.c @brief Timed waits. */
#include "wait.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <time.h>

#define NS_PER_S 1000000000L
#define NS_PER_US 1000L
/* A wait is cut into slices: the condition's clock stands still while the
 * machine sleeps, and the clock of the deadline does not. */
#define SLICE_US (1 * PPS_US_PER_S)

void
pps_wait_cond_init(pthread_cond_t *cond)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attributes);
    pthread_condattr_destroy(&attributes);
}

int
pps_wait_until(pthread_cond_t *cond, pthread_mutex_t *mutex,
               int64_t deadline_us)
{
    int64_t left_us = deadline_us - pps_clock_now_us();
    struct timespec until;

    if (left_us <= 0) {
        return PPS_ETIMEOUT;
    }
    if (left_us > SLICE_US) {
        left_us = SLICE_US;
    }
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += left_us / PPS_US_PER_S;
    until.tv_nsec += left_us % PPS_US_PER_S * NS_PER_US;
    if (until.tv_nsec >= NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= NS_PER_S;
    }
    pthread_cond_timedwait(cond, mutex, &until);
    return PPS_OK;
}
