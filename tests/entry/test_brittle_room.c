/** @file test_brittle_room.c @brief A brittle worker that was just seen full
 * gets nothing, though this host has free permits there. */
#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define SLOTS 8
/** Time in which requests from before the statement end. */
#define DRAINED_MS 150

typedef struct {
    fixture_answer_t answer;
    double held;   /* by each worker, as another host saw it */
    int64_t ms;    /* since then */
    size_t served; /* requests that reach a worker */
} room_case_t;

static const room_case_t cases[] = {
    {{"seen full", "503", ""}, SLOTS, 0, 0},
    {{"seen with a free slot", "200", "hi"}, SLOTS - 1, 0, 1},
    {{"seen full some time ago", "200", "hi"}, SLOTS, 400, 1},
};

static void
see(fixture_t *fixture, double held)
{
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        pps_brittle_notice_t notice = {.is_brittle = 1, .held = held};
        char id[8];

        snprintf(id, sizeof(id), "w%d", i);
        notice.worker = pps_pool_lookup(fixture->dispatcher.pool, id)->digest;
        pps_dispatcher_on_brittle(&fixture->dispatcher, &notice);
    }
}

Test(brittle_room, worker_that_was_seen_full_gets_more)
{
    static const net_answer_t script = {OK_PLAIN, NET_CLOSE};

    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        static fixture_t fixture;
        net_client_t client;

        fixture_start(&fixture, &script, 1);
        see(&fixture, 1);
        net_run_for(&fixture.reactor, DRAINED_MS);
        see(&fixture, cases[i].held);
        net_run_for(&fixture.reactor, (unsigned int)cases[i].ms + 1);
        fixture_run_request(&fixture, &client, "/once/", "");
        fixture_expect(&cases[i].answer, &client);
        cr_expect_eq(fixture_request_count(&fixture), cases[i].served, "%s",
                     cases[i].answer.name);
    }
}
