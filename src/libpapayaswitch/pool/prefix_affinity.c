/** @file prefix_affinity.c @brief Direct-mapped table of prefixes. */
#include "prefix_affinity.h"

#include "clock.h"

/** A worker is taken to keep a prefix for so long. */
#define KEPT_US (15 * PPS_US_PER_S)

void
pps_prefix_affinity_record(pps_prefix_affinity_t *memory, uint64_t prefix,
                           uint64_t worker, int64_t now_us)
{
    memory->places[prefix % PPS_PREFIX_AFFINITY_ENTRIES] =
        (pps_prefix_entry_t){prefix, worker, now_us};
}

uint64_t
pps_prefix_affinity_find_worker(const pps_prefix_affinity_t *memory,
                                uint64_t prefix, int64_t now_us)
{
    const pps_prefix_entry_t *place =
        &memory->places[prefix % PPS_PREFIX_AFFINITY_ENTRIES];

    return place->prefix == prefix && now_us - place->at_us < KEPT_US
               ? place->worker
               : 0;
}
