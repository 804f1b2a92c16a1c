/** @file steady_clock.c @brief Implements the time of tests. */
#include "steady_clock.h"

#include "clock.h"

#include <criterion/criterion.h>

static int64_t read_real_us; /* last reading of the real time; 0: none */
static int64_t now_us;

int64_t
steady_clock_now_us(void)
{
    int64_t real_us = pps_clock_now_us();
    int64_t passed_us = real_us - read_real_us;

    if (read_real_us > 0 && passed_us > STEADY_CLOCK_TURN_MAX_US) {
        passed_us = STEADY_CLOCK_TURN_MAX_US;
    }
    now_us += passed_us;
    read_real_us = real_us;
    return now_us;
}

void
steady_clock_init_reactor(pps_reactor_t *reactor)
{
    cr_assert_eq(pps_reactor_init(reactor), 0);
    reactor->read_clock = steady_clock_now_us;
    reactor->now_us = steady_clock_now_us();
}
