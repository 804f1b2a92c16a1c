/** @file worker_runtime.c @brief Tracks a worker's load and back-offs. */
#include "worker/worker_runtime.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/**
 * Default back-offs. There is none for PPS_REFUSAL_STALE, which is caused by
 * this host's old revision and not by the worker.
 */
static const int64_t default_backoff_us[PPS_REFUSAL_COUNT] = {
    [PPS_REFUSAL_FULL] = 100 * PPS_US_PER_MS,
    [PPS_REFUSAL_DRAINING] = 60 * PPS_US_PER_S,
    [PPS_REFUSAL_NOT_LOADED] = 2 * PPS_US_PER_S,
    [PPS_REFUSAL_BROKEN] = 2 * PPS_US_PER_S,
    [PPS_REFUSAL_SILENT] = 5 * PPS_US_PER_S,
    /* The health test reports an unfit worker only once, so the back-off
     * has to last until the worker is replaced. */
    [PPS_REFUSAL_UNFIT] = 24 * 3600 * PPS_US_PER_S,
};

/** The weight of a new sample in the smoothed time is 1 / 2^shift. */
#define SMOOTHING_SHIFT 3

int
pps_worker_runtime_new(pps_worker_runtime_t **out)
{
    pps_worker_runtime_t *runtime = calloc(1, sizeof(*runtime));

    *out = runtime;
    if (runtime == NULL) {
        return pps_error_set(PPS_ENOMEM, "worker state: out of memory");
    }
    atomic_init(&runtime->references, 1);
    atomic_init(&runtime->reported_at_us, INT64_MIN);
    for (int i = 0; i < PPS_REFUSAL_COUNT; i++) {
        atomic_init(&runtime->closed_until_us[i], INT64_MIN);
    }
    return PPS_OK;
}

pps_worker_runtime_t *
pps_worker_runtime_ref(pps_worker_runtime_t *runtime)
{
    atomic_fetch_add(&runtime->references, 1);
    return runtime;
}

void
pps_worker_runtime_free(pps_worker_runtime_t *runtime)
{
    if (runtime != NULL && atomic_fetch_sub(&runtime->references, 1) == 1) {
        free(runtime);
    }
}

static uint64_t
version_hash(const char *version)
{
    uint64_t hash = XXH64(version, strlen(version), 0);

    return hash == 0 ? 1 : hash;
}

static pps_runtime_version_t *
find_version(pps_worker_runtime_t *runtime, const char *version, int insert)
{
    uint64_t hash = version_hash(version);

    for (size_t i = 0; i < PPS_RUNTIME_VERSIONS; i++) {
        pps_runtime_version_t *entry =
            &runtime->versions[(hash + i) % PPS_RUNTIME_VERSIONS];
        uint64_t entry_hash = atomic_load(&entry->hash);

        if (entry_hash == 0 && !insert) {
            return NULL;
        }
        if (entry_hash == 0 &&
            atomic_compare_exchange_strong(&entry->hash, &entry_hash, hash)) {
            return entry;
        }
        if (entry_hash == hash) {
            return entry;
        }
    }
    return NULL;
}

static void
set_not_loaded_until(pps_worker_runtime_t *runtime, const char *version,
                     int64_t until_us)
{
    pps_runtime_version_t *entry = find_version(runtime, version, 1);

    if (entry != NULL) {
        atomic_store(&entry->not_loaded_until_us, until_us);
    }
}

void
pps_worker_begin_request(const pps_worker_t *worker)
{
    atomic_fetch_add(&worker->runtime->in_flight, 1);
}

void
pps_worker_end_request(const pps_worker_t *worker)
{
    atomic_fetch_sub(&worker->runtime->in_flight, 1);
}

void
pps_worker_record_first_token(const pps_worker_t *worker, int64_t elapsed_us)
{
    _Atomic int64_t *smoothed = &worker->runtime->first_token_us;
    int64_t before = atomic_load(smoothed);
    int64_t after;

    do {
        after = before == 0
                    ? elapsed_us
                    : before + ((elapsed_us - before) >> SMOOTHING_SHIFT);
    } while (!atomic_compare_exchange_weak(smoothed, &before, after));
}

static int
report_is_newer(pps_worker_runtime_t *runtime, int64_t measured_at_us)
{
    int64_t last = atomic_load(&runtime->reported_at_us);

    while (measured_at_us > last) {
        if (atomic_compare_exchange_weak(&runtime->reported_at_us, &last,
                                         measured_at_us)) {
            return 1;
        }
    }
    return 0;
}

static int
report_has_version(const pps_worker_report_t *report, uint64_t hash)
{
    for (size_t i = 0; i < report->version_count; i++) {
        if (version_hash(report->versions[i]) == hash) {
            return 1;
        }
    }
    return 0;
}

static void
update_versions(pps_worker_runtime_t *runtime,
                const pps_worker_report_t *report)
{
    int64_t not_loaded_until_us =
        report->measured_at_us + default_backoff_us[PPS_REFUSAL_NOT_LOADED];

    for (size_t i = 0; i < PPS_RUNTIME_VERSIONS; i++) {
        uint64_t hash = atomic_load(&runtime->versions[i].hash);

        if (hash != 0 && !report_has_version(report, hash)) {
            atomic_store(&runtime->versions[i].not_loaded_until_us,
                         not_loaded_until_us);
        }
    }
    for (size_t i = 0; i < report->version_count; i++) {
        set_not_loaded_until(runtime, report->versions[i], 0);
    }
}

/**
 * Returns this host's requests in flight at the last sample that is not later
 * than the measurement, or at the oldest sample. The reported load includes
 * these, also if they have ended, and none that were sent later.
 */
static int64_t
in_flight_at(const pps_worker_runtime_t *runtime, int64_t measured_at_us)
{
    int64_t in_flight = atomic_load(&runtime->in_flight);
    size_t oldest = runtime->sample_count > PPS_RUNTIME_SAMPLES
                        ? runtime->sample_count - PPS_RUNTIME_SAMPLES
                        : 0;

    for (size_t i = runtime->sample_count; i > oldest; i--) {
        const pps_runtime_sample_t *sample =
            &runtime->samples[(i - 1) % PPS_RUNTIME_SAMPLES];

        in_flight = sample->in_flight;
        if (sample->at_us <= measured_at_us) {
            break;
        }
    }
    return in_flight;
}

static void
record_sample(pps_worker_runtime_t *runtime, int64_t now_us)
{
    pps_runtime_sample_t *next =
        &runtime->samples[runtime->sample_count % PPS_RUNTIME_SAMPLES];

    next->at_us = now_us;
    next->in_flight = atomic_load(&runtime->in_flight);
    runtime->sample_count++;
}

void
pps_worker_apply_report(const pps_worker_t *worker,
                        const pps_worker_report_t *report)
{
    pps_worker_runtime_t *runtime = worker->runtime;
    int64_t load = (int64_t)report->running + report->queued;
    int64_t peer_load;

    if (!report_is_newer(runtime, report->measured_at_us)) {
        return;
    }
    record_sample(runtime, report->received_at_us > 0
                               ? report->received_at_us
                               : report->measured_at_us);
    peer_load = load - in_flight_at(runtime, report->measured_at_us);
    atomic_store(&runtime->peer_load, peer_load > 0 ? peer_load : 0);
    if (report->slots > 0) {
        atomic_store(&runtime->slots, report->slots);
    }
    if (report->versions != NULL) {
        update_versions(runtime, report);
    }
}

void
pps_worker_record_refusal(const pps_worker_t *worker, pps_refusal_t refusal,
                          const char *version, int64_t now_us,
                          int64_t retry_after_us)
{
    int64_t backoff_us =
        retry_after_us > 0 ? retry_after_us : default_backoff_us[refusal];

    if (refusal != PPS_REFUSAL_NOT_LOADED) {
        atomic_store(&worker->runtime->closed_until_us[refusal],
                     now_us + backoff_us);
    }
    else if (version != NULL) {
        set_not_loaded_until(worker->runtime, version, now_us + backoff_us);
    }
}

void
pps_worker_record_success(const pps_worker_t *worker, const char *version)
{
    static const pps_refusal_t cleared[] = {
        PPS_REFUSAL_FULL, PPS_REFUSAL_BROKEN, PPS_REFUSAL_SILENT};

    for (size_t i = 0; i < sizeof(cleared) / sizeof(cleared[0]); i++) {
        atomic_store(&worker->runtime->closed_until_us[cleared[i]], INT64_MIN);
    }
    if (version != NULL) {
        set_not_loaded_until(worker->runtime, version, 0);
    }
}

int64_t
pps_worker_in_flight(const pps_worker_t *worker)
{
    return atomic_load(&worker->runtime->in_flight);
}

double
pps_worker_load(const pps_worker_t *worker)
{
    return (double)(atomic_load(&worker->runtime->peer_load) +
                    atomic_load(&worker->runtime->in_flight));
}

double
pps_worker_peer_load(const pps_worker_t *worker)
{
    return (double)atomic_load(&worker->runtime->peer_load);
}

unsigned int
pps_worker_slots(const pps_worker_t *worker)
{
    unsigned int reported = atomic_load(&worker->runtime->slots);

    return reported > 0 ? reported : worker->slots;
}

int64_t
pps_worker_reported_at_us(const pps_worker_t *worker)
{
    return atomic_load(&worker->runtime->reported_at_us);
}

double
pps_worker_first_token_us(const pps_worker_t *worker)
{
    return (double)atomic_load(&worker->runtime->first_token_us);
}

int64_t
pps_worker_opens_at_us(const pps_worker_t *worker)
{
    int64_t until_us = INT64_MIN;

    if (worker->state == PPS_WORKER_LEAVING) {
        return INT64_MAX;
    }
    for (int i = 0; i < PPS_REFUSAL_COUNT; i++) {
        int64_t closed_us = atomic_load(&worker->runtime->closed_until_us[i]);

        until_us = closed_us > until_us ? closed_us : until_us;
    }
    return until_us;
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
    pps_runtime_version_t *entry = find_version(worker->runtime, version, 0);
    int64_t until_us;

    if (entry == NULL) {
        return PPS_LOADED_UNKNOWN;
    }
    until_us = atomic_load(&entry->not_loaded_until_us);
    if (until_us == 0) {
        return PPS_LOADED_YES;
    }
    return until_us > now_us ? PPS_LOADED_NO : PPS_LOADED_UNKNOWN;
}
