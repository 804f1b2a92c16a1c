/** @file worker_runtime.h @brief State of a worker, shared by views. */
#ifndef PPS_WORKER_RUNTIME_H
#define PPS_WORKER_RUNTIME_H

#include "papayaswitch/worker_view.h"

#include <stdatomic.h>

/** Versions recorded per worker; the load state of others is unknown. */
#define PPS_RUNTIME_VERSIONS 32

/** Number of recorded samples of this host's requests in flight. */
#define PPS_RUNTIME_SAMPLES 16

/** This host's requests in flight at a point in time. */
typedef struct {
    int64_t at_us;
    int64_t in_flight;
} pps_runtime_sample_t;

/** Load state of one version at a worker. */
typedef struct {
    _Atomic uint64_t hash; /**< hash of the version's name; 0: unused entry */
    _Atomic int64_t not_loaded_until_us; /**< 0: loaded */
} pps_runtime_version_t;

struct pps_worker_runtime {
    _Atomic int references;
    _Atomic int64_t in_flight;
    _Atomic int64_t peer_load; /**< reported load from other hosts */
    _Atomic int64_t reported_at_us;
    _Atomic unsigned int slots;
    _Atomic int64_t first_token_us; /**< smoothed; 0: no sample */
    _Atomic int64_t closed_until_us[PPS_REFUSAL_COUNT];
    /** Ring buffer, used only by the thread that applies reports. */
    pps_runtime_sample_t samples[PPS_RUNTIME_SAMPLES];
    size_t sample_count;
    pps_runtime_version_t versions[PPS_RUNTIME_VERSIONS];
};

/** Creates the state of a worker, with one reference. */
int
pps_worker_runtime_new(pps_worker_runtime_t **out);

/** Adds a reference. */
pps_worker_runtime_t *
pps_worker_runtime_ref(pps_worker_runtime_t *runtime);

/** Drops a reference; NULL is allowed. */
void
pps_worker_runtime_free(pps_worker_runtime_t *runtime);

#endif
