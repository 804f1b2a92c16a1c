/** @file soak_limit.c @brief Lets workers name limits on requests, and checks
 * that all hosts together keep to them. */
#include "soak.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

#define LIMIT_INTERVAL_US (900 * PPS_US_PER_MS)
/** The rule counts from this time after a worker first named a limit, and a
 * host's requests from this time after it passed on such an answer. */
#define STABILITY_US (3 * PPS_US_PER_S)
#define TOLD_US (500 * PPS_US_PER_MS)
#define WINDOW_US (4 * PPS_US_PER_S)
#define WINDOW_S 4
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5
/** Keeps the draws of the other faults as they are for a seed. */
#define SEED_CHANGE UINT64_C(0x5eed11a17)

static pps_timer_t limit_timer;
static pps_rng_t limit_rng;

void
limit_reset(worker_t *worker)
{
    worker->limit_named_us = worker->soak->reactor.now_us;
    worker->limited_count = 0;
    memset(worker->told_limit_us, 0, sizeof(worker->told_limit_us));
}

void
limit_end(worker_t *worker)
{
    worker->limit_per_s = 0;
    limit_reset(worker);
}

static void
on_limit_timer(int64_t now_us, void *user)
{
    soak_t *soak = user;
    worker_t *worker =
        &soak->workers[pps_rng_below(&limit_rng, SOAK_WORKER_COUNT)];

    if (soak->in_recovery) {
        return;
    }
    if (worker->limit_per_s > 0) {
        limit_end(worker);
        return;
    }
    worker->limit_per_s = 1 + (unsigned int)pps_rng_below(&limit_rng, 8);
    limit_reset(worker);
}

void
limit_start(soak_t *soak)
{
    pps_rng_init(&limit_rng, soak->seed ^ SEED_CHANGE);
    pps_reactor_every(&soak->reactor, &limit_timer, LIMIT_INTERVAL_US,
                      on_limit_timer, soak);
}

void
limit_write_field(char *out, size_t size, const worker_t *worker)
{
    out[0] = '\0';
    if (worker->limit_per_s > 0) {
        snprintf(out, size, "Server-Limit: %u\r\n", worker->limit_per_s);
    }
}

void
limit_note_told(worker_t *worker, int host)
{
    if (worker->limit_per_s > 0 && worker->told_limit_us[host] == 0) {
        worker->told_limit_us[host] = worker->soak->reactor.now_us;
    }
}

/* Forgets the requests from before the window. */
static void
drop_old(worker_t *worker, int64_t now_us)
{
    size_t kept = 0;

    for (size_t i = 0; i < worker->limited_count; i++) {
        if (worker->limited_us[i] > now_us - WINDOW_US) {
            worker->limited_us[kept++] = worker->limited_us[i];
        }
    }
    worker->limited_count = kept;
}

void
limit_check(worker_t *worker, const request_t *request)
{
    const soak_t *soak = worker->soak;
    const host_t *host = &soak->hosts[request->host];
    int64_t now_us = soak->reactor.now_us;
    int64_t told_us = worker->told_limit_us[request->host];
    double allowed =
        worker->limit_per_s * ALLOWED_FACTOR * WINDOW_S + ALLOWED_MORE;

    if (worker->limit_per_s == 0 || worker->proxy.mode != PROXY_PASS ||
        told_us == 0 || now_us - told_us < TOLD_US || host->pid == 0 ||
        host->undisturbed_since_us >= told_us) {
        return;
    }
    drop_old(worker, now_us);
    if (worker->limited_count < SOAK_LIMITED_MAX) {
        worker->limited_us[worker->limited_count++] = now_us;
    }
    if (now_us - worker->limit_named_us >= STABILITY_US &&
        (double)worker->limited_count > allowed) {
        soak_report_violation(worker->soak,
                              "more requests than the worker's limit allows",
                              request->id);
    }
}
