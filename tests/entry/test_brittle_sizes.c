/** @file test_brittle_sizes.c @brief Requests differ in size, so that the
 * memory of brittle workers binds before their slots do. */
#include "brittle_play.h"

#include <criterion/criterion.h>

#define LARGE_ONE_IN 5
#define FIXED                                                                 \
    .end_ms = 5000, .shrink_ms = 700, .returns = BRITTLE_LATER_START,         \
    .large_one_in = LARGE_ONE_IN
/** With more hosts requests take longer, so that one thread can play them. */
#define SLOW .work_ms = 200
#define ALONE BRITTLE_SERVED_MIN

static const brittle_case_t cases[] = {
    {"8 hosts, load 0.5", 8, 0.5, 0, 3, 0, 1, ALONE, FIXED},
    {"22 hosts, load 0.5", 22, 0.5, 0, 3, 0, 1, ALONE, FIXED, SLOW},
    {"87 hosts, load 0.5", 87, 0.5, 0, 3, 0, 1, ALONE, FIXED, SLOW},
    {"87 hosts, load 0.5, three may wait", 87, 0.5, 3, 5, 0, 1, ALONE, FIXED,
     SLOW},
};

/** The users' bound: the largest tenth of a kind of request is served at
 * least half as often as all of it. */
#define LARGE_MIN 0.5

static const brittle_case_t overload_of_few = {
    "8 hosts, load 1.1",   8, 1.1, 0, 3, 0, 1, ALONE, FIXED,
    .large_min = LARGE_MIN};

static const brittle_case_t overloads[] = {
    {"22 hosts, load 1.1", 22, 1.1, 0, 3, 0, 1, ALONE, FIXED, SLOW,
     .large_min = LARGE_MIN},
    {"87 hosts, load 1.1", 87, 1.1, 0, 3, 0, 1, ALONE, FIXED, SLOW,
     .large_min = LARGE_MIN},
};

Test(brittle_sizes, memory_of_large_requests_is_not_counted, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        brittle_play(&cases[i]);
    }
}

Test(brittle_sizes, small_requests_starve_large_ones, .timeout = 120)
{
    brittle_play(&overload_of_few);
}

Test(brittle_sizes, small_requests_starve_large_ones_before_many_hosts,
     .timeout = 120)
{
    for (size_t i = 0; i < sizeof(overloads) / sizeof(*overloads); i++) {
        brittle_play(&overloads[i]);
    }
}
