/**
 * @file prefix_memory.h
 * @brief Which worker last read the shared part of a prompt, for a model.
 *
 * A table of fixed size; a newer prompt takes the place of an older one.
 */
#ifndef PPS_POOL_PREFIX_MEMORY_H
#define PPS_POOL_PREFIX_MEMORY_H

#include <stdint.h>

#define PPS_PREFIX_MEMORY_PLACES 2048

/** Who read one prefix. */
typedef struct {
    uint64_t prefix;
    uint64_t worker;
    int64_t at_us;
} pps_prefix_place_t;

/** The table. Zero-initialise it. */
typedef struct {
    pps_prefix_place_t places[PPS_PREFIX_MEMORY_PLACES];
} pps_prefix_memory_t;

/** A worker, by a digest of its id, reads the prefix. */
void
pps_prefix_memory_note(pps_prefix_memory_t *memory, uint64_t prefix,
                       uint64_t worker, int64_t now_us);

/** The worker that read the prefix of late, or 0. */
uint64_t
pps_prefix_memory_worker(const pps_prefix_memory_t *memory, uint64_t prefix,
                         int64_t now_us);

#endif
