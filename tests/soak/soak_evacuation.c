/** @file soak_evacuation.c @brief Lets the operator evacuate a failure domain
 * during the faults, and checks that its workers get nothing after the bound.
 */
#include "soak.h"

#include "clock.h"

#include <stdio.h>

#define FAILURE_DOMAIN 1
#define KEY "evacuate/z1"
/** From the store's acknowledgement: the limit (evac_ms, 5 s) and what a
 * change of the store's availability may add (outer_ms, 6 s). */
#define BOUND_US (11 * PPS_US_PER_S)
/** The order is taken back before the end of the run. */
#define END_US (15 * PPS_US_PER_S)
/** Time after a host's last signal from which it counts. */
#define HOST_COUNTS_AFTER_US (2 * PPS_US_PER_S)
/** Keeps the draws of the other faults as they are for a seed. */
#define SEED_CHANGE UINT64_C(0xe7ac)

static pps_timer_t end_timer;
static int64_t ordered_us; /* 0: no order is in force */
static unsigned int checked;

static void
on_end(int64_t now_us, void *user)
{
    soak_t *soak = user;

    ordered_us = 0;
    store_put(&soak->store, "keyed.op", KEY, NULL);
}

void
evacuation_start(soak_t *soak)
{
    pps_rng_t rng;

    pps_rng_init(&rng, soak->seed ^ SEED_CHANGE);
    if (pps_rng_below(&rng, 2) == 0) {
        return;
    }
    ordered_us = soak->reactor.now_us;
    store_put(&soak->store, "keyed.op", KEY, "{}");
    pps_reactor_after(&soak->reactor, &end_timer, END_US, on_end, soak);
}

void
evacuation_check(const worker_t *worker, const request_t *request)
{
    soak_t *soak = worker->soak;
    int64_t now_us = soak->reactor.now_us;
    const host_t *host = &soak->hosts[request->host];

    if (ordered_us == 0 || now_us - ordered_us < BOUND_US || host->pid == 0 ||
        now_us - host->undisturbed_since_us < HOST_COUNTS_AFTER_US) {
        return;
    }
    checked++;
    if (worker->id[1] % 2 == FAILURE_DOMAIN) {
        soak_report_violation(
            soak, "a request for a worker of an evacuated failure domain",
            request->id);
    }
}

unsigned int
evacuation_checked(void)
{
    return checked;
}
