/** @file test_left_calls.c @brief A call that was given up holds its permit
 * while a brittle worker may still be at work on it. */
#include "clock.h"
#include "exchange/left_call.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>

#define USUAL_MS 200
#define PAST_MS 400
#define START_MS 7

/** How a call ends. */
typedef enum {
    END_ANSWERED,
    END_CALLER_LEAVES,
    END_CONNECTION_BREAKS,
    END_REJECTED,
} end_t;

typedef struct {
    const char *name;
    int is_brittle;
    int restarts; /* the worker starts again */
    end_t end;
    unsigned int counted;       /* calls at the worker just after it */
    unsigned int counted_later; /* the same after the usual time */
} left_case_t;

static const left_case_t cases[] = {
    {"the caller leaves", 1, 0, END_CALLER_LEAVES, 1, 0},
    {"the caller leaves a worker without permits", 0, 0, END_CALLER_LEAVES, 0,
     0},
    {"the connection breaks", 1, 0, END_CONNECTION_BREAKS, 1, 0},
    {"the worker starts again", 1, 1, END_CALLER_LEAVES, 0, 0},
    {"it is answered", 1, 0, END_ANSWERED, 0, 0},
    {"it is rejected", 1, 0, END_REJECTED, 0, 0},
};

static const net_answer_t scripts[][1] = {
    [END_ANSWERED] = {{OK_PLAIN, NET_CLOSE}},
    [END_CALLER_LEAVES] = {{NULL, NET_KEEP}},
    [END_CONNECTION_BREAKS] = {{NULL, NET_KEEP}},
    [END_REJECTED] = {{FULL, NET_CLOSE}},
};

static fixture_t fixture;
static const char *const ids[] = {"w0", "w1", "w2"};

static unsigned int
count_calls(void)
{
    unsigned int sum = 0;

    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        sum += pps_pool_lookup(fixture.dispatcher.pool, ids[i])->in_flight;
    }
    return sum;
}

static void
state_brittle(const left_case_t *item)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(&fixture.dispatcher, "s");

    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        const pps_brittle_notice_t notice = {
            .worker = pps_pool_lookup(fixture.dispatcher.pool, ids[i])->digest,
            .is_brittle = item->is_brittle,
        };

        pps_dispatcher_on_brittle(&fixture.dispatcher, &notice);
    }
    state->long_answer_us = USUAL_MS * PPS_US_PER_MS;
}

static void
restart_workers(void)
{
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        pps_worker_info_t info =
            pps_pool_lookup(fixture.dispatcher.pool, ids[i])->info;

        info.start_ms = START_MS;
        pps_pool_put(fixture.dispatcher.pool, &info);
    }
    pps_left_calls_sweep(&fixture.dispatcher);
}

static void
end_call(const left_case_t *item, net_client_t *client)
{
    if (item->end == END_CALLER_LEAVES) {
        net_client_close(client);
    }
    for (int i = 0; item->end == END_CONNECTION_BREAKS && i < FIXTURE_WORKERS;
         i++) {
        net_server_reset(&fixture.workers[i]);
    }
    net_run_for(&fixture.reactor, 20);
    if (item->restarts) {
        restart_workers();
    }
}

Test(left_calls, permit_is_free_while_the_worker_goes_on)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        const left_case_t *item = &cases[i];
        net_client_t client;

        fixture_start(&fixture, scripts[item->end], 1);
        state_brittle(item);
        fixture_request(&fixture, &client, "/once/", "");
        net_run_for(&fixture.reactor, 20);
        end_call(item, &client);
        cr_expect_eq(count_calls(), item->counted, "%s: %u", item->name,
                     count_calls());
        net_run_for(&fixture.reactor, PAST_MS);
        cr_expect_eq(count_calls(), item->counted_later, "%s: %u later",
                     item->name, count_calls());
    }
}
