/** @file test_brittle_changes.c @brief Hosts change, or workers bear fewer
 * rejections, while workers with full queues begin to be brittle. */
#include "brittle_play.h"

#include <criterion/criterion.h>

#define FULL_QUEUES BRITTLE_FULL_QUEUES
#define HANDED BRITTLE_HANDED_ON_MIN

static const brittle_case_t host_cases[] = {
    {"22 hosts, six end", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .ended_hosts = 6},
    {"22 hosts, six are added", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .added_hosts = 6},
    {"22 hosts, eleven are replaced", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .ended_hosts = 11, .added_hosts = 11},
    {"22 hosts, all are replaced", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .ended_hosts = 22, .added_hosts = 22},
};

static const brittle_case_t cut_cases[] = {
    {"22 hosts, cut into halves", 22, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .cut_ms = BRITTLE_SHRINK_MS},
    {"22 hosts, cut before the statement", 22, 1.1, 0, 3, 0, 1, HANDED,
     FULL_QUEUES, .cut_ms = 2000},
};

static const brittle_case_t other_cases[] = {
    {"22 hosts, five rejections are borne, then one", 22, 1.1, 0, 5, 0, 1,
     HANDED, FULL_QUEUES, .rejected_after = 1},
};

static const brittle_case_t hundreds_of_hosts[] = {
    {"300 hosts, load 1.1", 300, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES},
    {"300 hosts, 100 are replaced", 300, 1.1, 0, 3, 0, 1, HANDED, FULL_QUEUES,
     .ended_hosts = 100, .added_hosts = 100},
};

#define COUNT(cases) (sizeof(cases) / sizeof(*(cases)))

Test(brittle_changes, new_hosts_take_full_queues_for_drained, .timeout = 120)
{
    brittle_play_all(host_cases, COUNT(host_cases));
}

Test(brittle_changes, halves_of_the_hosts_use_all_permits, .timeout = 120)
{
    brittle_play_all(cut_cases, COUNT(cut_cases));
}

Test(brittle_changes, hundreds_of_hosts_overload_full_queues, .timeout = 120)
{
    brittle_play_all(hundreds_of_hosts, COUNT(hundreds_of_hosts));
}

Test(brittle_changes, fewer_rejections_are_borne_than_before, .timeout = 120)
{
    brittle_play_all(other_cases, COUNT(other_cases));
}
