/**
 * @file prefix_affinity.h
 * @brief Records which worker has probably cached a prompt prefix.
 *
 * The table is direct-mapped: a newer prefix overwrites an older one with the
 * same index.
 */
#ifndef PPS_POOL_PREFIX_AFFINITY_H
#define PPS_POOL_PREFIX_AFFINITY_H

#include <stdint.h>

#define PPS_PREFIX_AFFINITY_ENTRIES 2048

/** The worker that last processed a prefix. */
typedef struct {
    uint64_t prefix; /**< digest of the shared prefix and the model */
    uint64_t worker; /**< digest of the worker's id */
    int64_t recorded_us;
} pps_prefix_entry_t;

/** The table. Zero-initialize it. */
typedef struct {
    pps_prefix_entry_t entries[PPS_PREFIX_AFFINITY_ENTRIES];
} pps_prefix_affinity_t;

/** Records that the worker with this id digest processes the prefix. */
void
pps_prefix_affinity_record(pps_prefix_affinity_t *affinity, uint64_t prefix,
                           uint64_t worker, int64_t now_us);

/** Returns the id digest of the prefix's most recent worker, or 0. */
uint64_t
pps_prefix_affinity_find_worker(const pps_prefix_affinity_t *affinity,
                                uint64_t prefix, int64_t now_us);

#endif
