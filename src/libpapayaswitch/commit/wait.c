/** @file wait.c @brief Waits on conditions until a deadline. */
#include "wait.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <time.h>

#define NS_PER_S 1000000000L
#define NS_PER_US 1000L
/* The condition's clock stops while the machine is suspended; the clock of the
 * deadline does not. Short waits let the caller check the deadline again. */
#define WAIT_MAX_US (1 * PPS_US_PER_S)

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
    int64_t remaining_us = deadline_us - pps_clock_now_us();
    struct timespec until;

    if (remaining_us <= 0) {
        return PPS_ETIMEOUT;
    }
    if (remaining_us > WAIT_MAX_US) {
        remaining_us = WAIT_MAX_US;
    }
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += remaining_us / PPS_US_PER_S;
    until.tv_nsec += remaining_us % PPS_US_PER_S * NS_PER_US;
    if (until.tv_nsec >= NS_PER_S) {
        until.tv_sec++;
        until.tv_nsec -= NS_PER_S;
    }
    pthread_cond_timedwait(cond, mutex, &until);
    return PPS_OK;
}
