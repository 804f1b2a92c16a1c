/** @file worker_runtime.h @brief Mutable state of a worker, all atomics. */
#ifndef PPS_WORKER_RUNTIME_H
#define PPS_WORKER_RUNTIME_H

#include "papayaswitch/worker_view.h"

#include <stdatomic.h>

/** Versions whose loading is remembered for a worker. */
#define PPS_CELL_VERSIONS 32

/** Moments at which the own load is remembered. */
#define PPS_CELL_SAMPLES 16

/** This host's requests under way at a moment. */
typedef struct {
    int64_t at_us;
    int64_t in_flight;
} pps_cell_sample_t;

/** What is known of one version at a worker. */
typedef struct {
    _Atomic uint64_t hash;        /**< of the version's name; 0: free */
    _Atomic int64_t not_until_us; /**< not loaded until then; 0: loaded */
} pps_cell_version_t;

struct pps_worker_runtime {
    _Atomic int references;
    _Atomic int64_t in_flight;
    _Atomic int64_t others; /**< reported load that is not this host's */
    _Atomic int64_t reported_at_us;
    _Atomic unsigned int slots;
    _Atomic int64_t first_token_us;
    _Atomic int64_t closed_until_us[PPS_REFUSAL_COUNT];
    /** Used by the thread that takes in reports only. */
    pps_cell_sample_t samples[PPS_CELL_SAMPLES];
    size_t sample_count;
    pps_cell_version_t versions[PPS_CELL_VERSIONS];
};

/** Makes a cell with one reference. */
int
pps_worker_runtime_new(pps_worker_runtime_t **out);

/** Takes one more reference. */
pps_worker_runtime_t *
pps_worker_runtime_ref(pps_worker_runtime_t *cell);

/** Gives a reference back; NULL is allowed. */
void
pps_worker_runtime_free(pps_worker_runtime_t *cell);

#endif
