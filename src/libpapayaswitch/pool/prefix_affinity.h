/**
 * @file prefix_affinity.h
 * @brief Which worker last read the shared part of a prompt, for a model.
 *
 * A table of fixed size; a newer prompt takes the place of an older one.
 */
#ifndef PPS_POOL_PREFIX_AFFINITY_H
#define PPS_POOL_PREFIX_AFFINITY_H

#include <stdint.h>

#define PPS_PREFIX_AFFINITY_ENTRIES 2048

/** Who read one prefix. */
typedef struct {
    uint64_t prefix;
    uint64_t worker;
    int64_t at_us;
} pps_prefix_entry_t;

/** The table. Zero-initialise it. */
typedef struct {
    pps_prefix_entry_t places[PPS_PREFIX_AFFINITY_ENTRIES];
} pps_prefix_affinity_t;

/** A worker, by a digest of its id, reads the prefix. */
void
pps_prefix_affinity_record(pps_prefix_affinity_t *memory, uint64_t prefix,
                           uint64_t worker, int64_t now_us);

/** The worker that read the prefix of late, or 0. */
uint64_t
pps_prefix_affinity_find_worker(const pps_prefix_affinity_t *memory,
                                uint64_t prefix, int64_t now_us);

#endif
