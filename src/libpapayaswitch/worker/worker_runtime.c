/** @file worker_runtime.c @brief Load and back-offs of a worker. */
#include "worker/worker_runtime.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Back-offs for refusals that name no time of their own. */
/* A stale order says nothing of the worker: no back-off. */
static const int64_t default_backoff_us[PPS_REFUSAL_COUNT] = {
    [PPS_REFUSAL_FULL] = 100 * PPS_US_PER_MS,
    [PPS_REFUSAL_DRAINING] = 60 * PPS_US_PER_S,
    [PPS_REFUSAL_NOT_LOADED] = 2 * PPS_US_PER_S,
    [PPS_REFUSAL_BROKEN] = 2 * PPS_US_PER_S,
    [PPS_REFUSAL_SILENT] = 5 * PPS_US_PER_S,
    /* Time to replace it; its health test names it once only. */
    [PPS_REFUSAL_UNFIT] = 24 * 3600 * PPS_US_PER_S,
};

/** Weight of a new sample in the smoothed time is 1 / 2^shift. */
#define SMOOTHING_SHIFT 3

int
pps_worker_runtime_new(pps_worker_runtime_t **out)
{
    pps_worker_runtime_t *cell = calloc(1, sizeof(*cell));

    *out = cell;
    if (cell == NULL) {
        return pps_error_set(PPS_ENOMEM, "worker: out of memory");
    }
    atomic_init(&cell->references, 1);
    atomic_init(&cell->reported_at_us, INT64_MIN);
    for (int i = 0; i < PPS_REFUSAL_COUNT; i++) {
        atomic_init(&cell->closed_until_us[i], INT64_MIN);
    }
    return PPS_OK;
}

pps_worker_runtime_t *
pps_worker_runtime_ref(pps_worker_runtime_t *cell)
{
    atomic_fetch_add(&cell->references, 1);
    return cell;
}

void
pps_worker_runtime_free(pps_worker_runtime_t *cell)
{
    if (cell != NULL && atomic_fetch_sub(&cell->references, 1) == 1) {
        free(cell);
    }
}

static uint64_t
version_hash(const char *version)
{
    uint64_t hash = XXH64(version, strlen(version), 0);

    return hash == 0 ? 1 : hash;
}

static pps_cell_version_t *
version_find(pps_worker_runtime_t *cell, const char *version, int claim)
{
    uint64_t hash = version_hash(version);

    for (size_t i = 0; i < PPS_CELL_VERSIONS; i++) {
        pps_cell_version_t *slot =
            &cell->versions[(hash + i) % PPS_CELL_VERSIONS];
        uint64_t seen = atomic_load(&slot->hash);

        if (seen == 0 && !claim) {
            return NULL;
        }
        if (seen == 0 &&
            atomic_compare_exchange_strong(&slot->hash, &seen, hash)) {
            return slot;
        }
        if (seen == hash) {
            return slot;
        }
    }
    return NULL;
}

static void
version_set(pps_worker_runtime_t *cell, const char *version, int64_t until_us)
{
    pps_cell_version_t *slot = version_find(cell, version, 1);

    if (slot != NULL) {
        atomic_store(&slot->not_until_us, until_us);
    }
}

void
pps_worker_begin_request(const pps_worker_t *worker)
{
    atomic_fetch_add(&worker->cell->in_flight, 1);
}

void
pps_worker_end_request(const pps_worker_t *worker)
{
    atomic_fetch_sub(&worker->cell->in_flight, 1);
}

void
pps_worker_record_first_token(const pps_worker_t *worker, int64_t elapsed_us)
{
    _Atomic int64_t *smoothed = &worker->cell->first_token_us;
    int64_t before = atomic_load(smoothed);
    int64_t after;

    do {
        after = before == 0
                    ? elapsed_us
                    : before + ((elapsed_us - before) >> SMOOTHING_SHIFT);
    } while (!atomic_compare_exchange_weak(smoothed, &before, after));
}

static int
report_is_newer(pps_worker_runtime_t *cell, int64_t measured_at_us)
{
    int64_t last = atomic_load(&cell->reported_at_us);

    while (measured_at_us > last) {
        if (atomic_compare_exchange_weak(&cell->reported_at_us, &last,
                                         measured_at_us)) {
            return 1;
        }
    }
    return 0;
}

static int
report_names(const pps_worker_report_t *report, uint64_t hash)
{
    for (size_t i = 0; i < report->version_count; i++) {
        if (version_hash(report->versions[i]) == hash) {
            return 1;
        }
    }
    return 0;
}

static void
versions_reported(pps_worker_runtime_t *cell,
                  const pps_worker_report_t *report)
{
    int64_t not_until_us =
        report->measured_at_us + default_backoff_us[PPS_REFUSAL_NOT_LOADED];

    for (size_t i = 0; i < PPS_CELL_VERSIONS; i++) {
        uint64_t hash = atomic_load(&cell->versions[i].hash);

        if (hash != 0 && !report_names(report, hash)) {
            atomic_store(&cell->versions[i].not_until_us, not_until_us);
        }
    }
    for (size_t i = 0; i < report->version_count; i++) {
        version_set(cell, report->versions[i], 0);
    }
}

/**
 * A report tells of the past. What this host had under way then is in it;
 * what it sent or finished since is not.
 */
static int64_t
in_flight_at(const pps_worker_runtime_t *cell, int64_t measured_at_us)
{
    int64_t in_flight = atomic_load(&cell->in_flight);
    size_t oldest = cell->sample_count > PPS_CELL_SAMPLES
                        ? cell->sample_count - PPS_CELL_SAMPLES
                        : 0;

    for (size_t i = cell->sample_count; i > oldest; i--) {
        const pps_cell_sample_t *sample =
            &cell->samples[(i - 1) % PPS_CELL_SAMPLES];

        in_flight = sample->in_flight;
        if (sample->at_us <= measured_at_us) {
            break;
        }
    }
    return in_flight;
}

static void
sample(pps_worker_runtime_t *cell, int64_t now_us)
{
    pps_cell_sample_t *next =
        &cell->samples[cell->sample_count % PPS_CELL_SAMPLES];

    next->at_us = now_us;
    next->in_flight = atomic_load(&cell->in_flight);
    cell->sample_count++;
}

void
pps_worker_apply_report(const pps_worker_t *worker,
                        const pps_worker_report_t *report)
{
    pps_worker_runtime_t *cell = worker->cell;
    int64_t load = (int64_t)report->running + report->queued;
    int64_t others;

    if (!report_is_newer(cell, report->measured_at_us)) {
        return;
    }
    sample(cell, report->received_at_us > 0 ? report->received_at_us
                                            : report->measured_at_us);
    others = load - in_flight_at(cell, report->measured_at_us);
    atomic_store(&cell->others, others > 0 ? others : 0);
    if (report->slots > 0) {
        atomic_store(&cell->slots, report->slots);
    }
    if (report->versions != NULL) {
        versions_reported(cell, report);
    }
}

void
pps_worker_record_refusal(const pps_worker_t *worker, pps_refusal_t refusal,
                          const char *version, int64_t now_us,
                          int64_t retry_after_us)
{
    int64_t backoff =
        retry_after_us > 0 ? retry_after_us : default_backoff_us[refusal];

    if (refusal != PPS_REFUSAL_NOT_LOADED) {
        atomic_store(&worker->cell->closed_until_us[refusal],
                     now_us + backoff);
    }
    else if (version != NULL) {
        version_set(worker->cell, version, now_us + backoff);
    }
}

void
pps_worker_record_success(const pps_worker_t *worker, const char *version)
{
    static const pps_refusal_t ended[] = {PPS_REFUSAL_FULL, PPS_REFUSAL_BROKEN,
                                          PPS_REFUSAL_SILENT};

    for (size_t i = 0; i < sizeof(ended) / sizeof(ended[0]); i++) {
        atomic_store(&worker->cell->closed_until_us[ended[i]], INT64_MIN);
    }
    if (version != NULL) {
        version_set(worker->cell, version, 0);
    }
}

int64_t
pps_worker_in_flight(const pps_worker_t *worker)
{
    return atomic_load(&worker->cell->in_flight);
}

double
pps_worker_load(const pps_worker_t *worker)
{
    return (double)(atomic_load(&worker->cell->others) +
                    atomic_load(&worker->cell->in_flight));
}

double
pps_worker_peer_load(const pps_worker_t *worker)
{
    return (double)atomic_load(&worker->cell->others);
}

unsigned int
pps_worker_slots(const pps_worker_t *worker)
{
    unsigned int reported = atomic_load(&worker->cell->slots);

    return reported > 0 ? reported : worker->slots;
}

int64_t
pps_worker_reported_at_us(const pps_worker_t *worker)
{
    return atomic_load(&worker->cell->reported_at_us);
}

double
pps_worker_first_token_us(const pps_worker_t *worker)
{
    return (double)atomic_load(&worker->cell->first_token_us);
}

int64_t
pps_worker_opens_at_us(const pps_worker_t *worker)
{
    int64_t until = INT64_MIN;

    if (worker->state == PPS_WORKER_LEAVING) {
        return INT64_MAX;
    }
    for (int i = 0; i < PPS_REFUSAL_COUNT; i++) {
        int64_t closed = atomic_load(&worker->cell->closed_until_us[i]);

        until = closed > until ? closed : until;
    }
    return until;
}

int
pps_worker_is_open(const pps_worker_t *worker, int64_t now_us)
{
    return pps_worker_opens_at_us(worker) <= now_us;
}

pps_loaded_t
pps_worker_version_loaded(const pps_worker_t *worker, const char *version,
                          int64_t now_us)
{
    pps_cell_version_t *slot = version_find(worker->cell, version, 0);
    int64_t until;

    if (slot == NULL) {
        return PPS_LOADED_UNKNOWN;
    }
    until = atomic_load(&slot->not_until_us);
    if (until == 0) {
        return PPS_LOADED_YES;
    }
    return until > now_us ? PPS_LOADED_NO : PPS_LOADED_UNKNOWN;
}
