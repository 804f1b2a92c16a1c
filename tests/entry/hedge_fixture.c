/** @file hedge_fixture.c @brief Runs a host that may copy slow requests. */
#include "hedge_fixture.h"

#include <criterion/criterion.h>
#include <math.h>

#define USUAL_US 30000

static void
learn_usual_wait(pps_upstream_state_t *state)
{
    pps_hedge_delay_t *delays = &state->hedge_delays[0][0][0];
    size_t count = sizeof(state->hedge_delays) / sizeof(*delays);

    for (size_t i = 0; i < count; i++) {
        delays[i] = (pps_hedge_delay_t){log(USUAL_US), 0, 1000};
    }
}

pps_upstream_state_t *
hedge_start(fixture_t *fixture, const net_answer_t *script, double share)
{
    pps_upstream_state_t *state;

    fixture_start(fixture, script, HEDGE_SCRIPT_SIZE);
    net_server_share_script(fixture->workers, FIXTURE_WORKERS);
    fixture->dispatcher.options.hedge_share = share;
    state = pps_dispatcher_upstream(&fixture->dispatcher, "s");
    state->hedge_load.smoothed = 0;
    learn_usual_wait(state);
    return state;
}

void
hedge_run_until_sent(fixture_t *fixture, size_t count)
{
    for (int ms = 0;
         ms < HEDGE_COPY_MS && fixture_request_count(fixture) < count;
         ms += 5) {
        net_run_for(&fixture->reactor, 5);
    }
    cr_assert_eq(fixture_request_count(fixture), count);
}
