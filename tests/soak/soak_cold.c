/** @file soak_cold.c @brief Lets workers become cold, and checks that all
 * hosts together keep to the rate of cold workers. */
#include "soak.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

#define COLD_INTERVAL_US (1300 * PPS_US_PER_MS)
#define COLD_US (3 * PPS_US_PER_S)
#define WINDOW_US (1 * PPS_US_PER_S)
/** A host's requests count from this time after it passed on an answer that
 * says that the worker is cold. */
#define TOLD_US (500 * PPS_US_PER_MS)
/** SOAK_COLD_PER_S x 1.5 + 5, as in the hosts' settings. */
#define ALLOWED 8
/** Keeps the draws of the other faults as they are for a seed. */
#define SEED_CHANGE UINT64_C(0xc01d)

static pps_timer_t cold_timer;
static pps_rng_t cold_rng;

void
cold_reset(worker_t *worker)
{
    worker->cold_count = 0;
    memset(worker->told_cold_us, 0, sizeof(worker->told_cold_us));
}

static void
on_cold_timer(int64_t now_us, void *user)
{
    soak_t *soak = user;
    worker_t *worker =
        &soak->workers[pps_rng_below(&cold_rng, SOAK_WORKER_COUNT)];

    if (soak->in_recovery || cold_remaining_ms(worker) > 0) {
        return;
    }
    cold_reset(worker);
    worker->cold_until_us = now_us + COLD_US;
    if (worker->is_listed && worker->draining_since_us == 0) {
        worker_write_entry(worker, "ready");
    }
}

void
cold_start(soak_t *soak)
{
    pps_rng_init(&cold_rng, soak->seed ^ SEED_CHANGE);
    pps_reactor_every(&soak->reactor, &cold_timer, COLD_INTERVAL_US,
                      on_cold_timer, soak);
}

long long
cold_remaining_ms(const worker_t *worker)
{
    int64_t left_us = worker->cold_until_us - worker->soak->reactor.now_us;

    return left_us > 0 ? left_us / PPS_US_PER_MS : 0;
}

void
cold_write_field(char *out, size_t size, const worker_t *worker)
{
    snprintf(out, size, "X-Cold-Ms: %lld\r\n", cold_remaining_ms(worker));
}

void
cold_note_told(worker_t *worker, int host)
{
    if (cold_remaining_ms(worker) > 0 && worker->told_cold_us[host] == 0) {
        worker->told_cold_us[host] = worker->soak->reactor.now_us;
    }
}

void
cold_check(worker_t *worker, const request_t *request)
{
    const soak_t *soak = worker->soak;
    const host_t *host = &soak->hosts[request->host];
    int64_t now_us = soak->reactor.now_us;
    int64_t told_us = worker->told_cold_us[request->host];
    size_t kept = 0;

    if (cold_remaining_ms(worker) == 0 || worker->proxy.mode != PROXY_PASS ||
        told_us == 0 || now_us - told_us < TOLD_US || host->pid == 0 ||
        host->undisturbed_since_us >= told_us) {
        return;
    }
    for (size_t i = 0; i < worker->cold_count; i++) {
        if (worker->cold_us[i] > now_us - WINDOW_US) {
            worker->cold_us[kept++] = worker->cold_us[i];
        }
    }
    worker->cold_count = kept;
    if (worker->cold_count < SOAK_LIMITED_MAX) {
        worker->cold_us[worker->cold_count++] = now_us;
    }
    if (worker->cold_count > ALLOWED) {
        soak_report_violation(worker->soak,
                              "more requests than a cold worker takes",
                              request->id);
    }
}
