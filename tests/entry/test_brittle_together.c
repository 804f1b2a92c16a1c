/** @file test_brittle_together.c @brief Full queues, requests that differ in
 * size and callers that leave meet while workers begin to be brittle. */
#include "brittle_play.h"

#include <criterion/criterion.h>

#define FULL_QUEUES BRITTLE_FULL_QUEUES
#define LARGE_ONE_IN 5
#define SIZES .large_one_in = LARGE_ONE_IN
#define LEAVE .leaves = 0.2, .works_on = 1
#define HANDED BRITTLE_HANDED_ON_MIN

static const brittle_case_t cases[] = {
    {"87 hosts, sizes", 87, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES, SIZES},
    {"8 hosts, callers leave", 8, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES, LEAVE},
    {"22 hosts, callers leave", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     LEAVE},
    {"87 hosts, callers leave", 87, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     LEAVE},
    {"22 hosts, sizes, callers leave", 22, 1.1, 0, 3, 0, 1, HANDED,
     FULL_QUEUES, SIZES, LEAVE},
    {"87 hosts, sizes, callers leave, one is borne", 87, 1.1, 0, 1, 0, 1,
     HANDED, FULL_QUEUES, SIZES, LEAVE},
    {"22 hosts, all that, notices are lost, workers are killed", 22, 1.1, 0, 3,
     3, 1, HANDED, FULL_QUEUES, SIZES, LEAVE, .killed = 3},
    {"22 hosts, all that, half are replaced", 22, 1.1, 0, 3, 0, 1, HANDED,
     FULL_QUEUES, SIZES, LEAVE, .ended_hosts = 11, .added_hosts = 11},
    {"22 hosts, all that, new ids", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     SIZES, LEAVE, .killed = 4},
};

static const brittle_case_t few_hosts[] = {
    {"8 hosts, sizes", 8, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES, SIZES},
    {"22 hosts, sizes", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES, SIZES},
};

#define COUNT(cases) (sizeof(cases) / sizeof(*(cases)))

Test(brittle_together, terms_of_the_sum_hide_each_other, .timeout = 200)
{
    brittle_play_all(cases, COUNT(cases));
}

Test(brittle_together, few_hosts_serve_too_little_behind_large_requests,
     .timeout = 120)
{
    brittle_play_all(few_hosts, COUNT(few_hosts));
}
