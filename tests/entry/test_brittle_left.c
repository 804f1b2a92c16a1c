/** @file test_brittle_left.c @brief Callers leave, and brittle workers work on
 * at their requests. */
#include "brittle_play.h"

#include <criterion/criterion.h>

#define FIXED .end_ms = 5000, .shrink_ms = 700, .returns = BRITTLE_LATER_START
#define WORKS_ON FIXED, .works_on = 1
/** With more hosts requests take longer, so that one thread can play them. */
#define SLOW .work_ms = 200
#define ALONE BRITTLE_SERVED_MIN

static const brittle_case_t cases[] = {
    {"8 hosts, load 1.1, 3 in 10 leave", 8, 1.1, 0, 3, 0, 1, ALONE, WORKS_ON,
     .leaves = 0.3},
    {"8 hosts, load 0.8, 1 in 10 leaves", 8, 0.8, 0, 3, 0, 1, ALONE, WORKS_ON,
     .leaves = 0.1},
    {"22 hosts, load 1.1, 3 in 10 leave", 22, 1.1, 0, 3, 0, 1, ALONE, WORKS_ON,
     SLOW, .leaves = 0.3},
    {"87 hosts, load 1.1, 3 in 10 leave", 87, 1.1, 0, 3, 0, 1, ALONE, WORKS_ON,
     SLOW, .leaves = 0.3},
    {"22 hosts, load 0.8, 1 in 10 leaves", 22, 0.8, 0, 3, 0, 1, ALONE,
     WORKS_ON, SLOW, .leaves = 0.1},
};

Test(brittle_left, workers_work_on_for_callers_that_left, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        brittle_play(&cases[i]);
    }
}
