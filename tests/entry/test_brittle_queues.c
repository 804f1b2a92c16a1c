/** @file test_brittle_queues.c @brief Workers begin to be brittle while their
 * queues are full, and have no room for these soon after. */
#include "brittle_play.h"

#include <criterion/criterion.h>

/** Times from the begin: workers state that they are brittle, requests end. */
#define STATED_MS 2500
#define END_MS 6500
/** Load before the statement, which fills all queues. */
#define PRESSED 2
/** Requests of which a worker has 12 slots, and room for 25 more. */
#define LARGE_SITE .workers = 16, .slots = 12, .room_before = 25
#define SMALL_SITE .workers = 8, .slots = 8, .room_before = 16
#define STATED                                                                \
    .end_ms = END_MS, .quiet_ms = STATED_MS, .pressed = PRESSED,              \
    .returns = BRITTLE_LATER_START
#define SHRINKS_AFTER(ms) STATED, .shrink_ms = STATED_MS + (ms)
#define SLOW .work_ms = 750
#define SLOWER .work_ms = 1500
#define HANDED BRITTLE_HANDED_ON_MIN

static const brittle_case_t few_hosts[] = {
    {"8 hosts, load 1.3, 1500 ms", 8, 1.3, 0, 3, 0, 1, HANDED,
     SHRINKS_AFTER(2000), SLOWER, SMALL_SITE},
    {"22 hosts, load 1.1", 22, 1.1, 0, 3, 0, 1, HANDED, SHRINKS_AFTER(1000),
     SLOW, LARGE_SITE},
    {"22 hosts, load 1.3", 22, 1.3, 0, 3, 0, 1, HANDED, SHRINKS_AFTER(1000),
     SLOW, LARGE_SITE},
    {"22 hosts, load 1.1, three workers are killed", 22, 1.1, 0, 3, 0, 1,
     HANDED, SHRINKS_AFTER(1000), SLOW, LARGE_SITE, .killed = 3},
    {"22 hosts, load 1.1, notices are lost", 22, 1.1, 0, 3, 3, 1, HANDED,
     SHRINKS_AFTER(1000), SLOW, LARGE_SITE},
    {"22 hosts, load 1.1, 1500 ms", 22, 1.1, 0, 3, 0, 1, HANDED,
     SHRINKS_AFTER(1000), SLOWER, SMALL_SITE},
};

static const brittle_case_t many_hosts[] = {
    {"87 hosts, load 0.9, 4 may wait", 87, 0.9, 4, 3, 0, 1, HANDED,
     SHRINKS_AFTER(1000), SLOW, LARGE_SITE},
    {"87 hosts, load 1.1, one is borne", 87, 1.1, 0, 1, 0, 1, HANDED,
     SHRINKS_AFTER(1000), SLOW, LARGE_SITE},
    {"87 hosts, load 1.3", 87, 1.3, 0, 3, 0, 1, HANDED, SHRINKS_AFTER(1000),
     SLOW, LARGE_SITE},
    {"87 hosts, load 1.3, 8 slots", 87, 1.3, 0, 3, 0, 1, HANDED,
     SHRINKS_AFTER(1000), SLOW, SMALL_SITE},
};

Test(brittle_queues, full_queues_are_rejected_when_the_room_shrinks,
     .timeout = 120)
{
    for (size_t i = 0; i < sizeof(few_hosts) / sizeof(*few_hosts); i++) {
        brittle_play(&few_hosts[i]);
    }
}

/** Time from the begin in which workers are brittle again. */
#define AGAIN_MS 6500

static const brittle_case_t second_times[] = {
    {"22 hosts, load 1.1, twice", 22, 1.1, 0, 3, 0, 1, HANDED,
     SHRINKS_AFTER(1000), SLOW, LARGE_SITE, .again_ms = AGAIN_MS},
};

Test(brittle_queues, full_queues_are_rejected_in_a_second_time, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(second_times) / sizeof(*second_times); i++) {
        brittle_case_t twice = second_times[i];

        twice.end_ms += AGAIN_MS;
        brittle_play(&twice);
    }
}

Test(brittle_queues, full_queues_are_rejected_before_many_hosts,
     .timeout = 120)
{
    for (size_t i = 0; i < sizeof(many_hosts) / sizeof(*many_hosts); i++) {
        brittle_play(&many_hosts[i]);
    }
}
