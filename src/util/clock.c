/** @file clock.c @brief Reads the system clocks. */
#include "clock.h"

#include <errno.h>
#include <time.h>

static int64_t
read_us(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return now.tv_sec * PPS_US_PER_S + now.tv_nsec / 1000;
}

int64_t
pps_clock_now_us(void)
{
    return read_us(CLOCK_BOOTTIME);
}

int64_t
pps_clock_wall_us(void)
{
    return read_us(CLOCK_REALTIME);
}

void
pps_clock_sleep_us(int64_t us)
{
    struct timespec remaining = {.tv_sec = us / PPS_US_PER_S,
                                 .tv_nsec = us % PPS_US_PER_S * 1000};

    while (nanosleep(&remaining, &remaining) != 0 && errno == EINTR) {
    }
}
