/** @file prefix_affinity.c @brief Direct-mapped table of prompt prefixes. */
#include "prefix_affinity.h"

#include "clock.h"

/** Time for which a worker is assumed to keep a prefix in its cache. */
#define ENTRY_LIFETIME_US (15 * PPS_US_PER_S)

void
pps_prefix_affinity_record(pps_prefix_affinity_t *affinity, uint64_t prefix,
                           uint64_t worker, int64_t now_us)
{
    affinity->entries[prefix % PPS_PREFIX_AFFINITY_ENTRIES] =
        (pps_prefix_entry_t){prefix, worker, now_us};
}

uint64_t
pps_prefix_affinity_find_worker(const pps_prefix_affinity_t *affinity,
                                uint64_t prefix, int64_t now_us)
{
    const pps_prefix_entry_t *entry =
        &affinity->entries[prefix % PPS_PREFIX_AFFINITY_ENTRIES];

    return entry->prefix == prefix &&
                   now_us - entry->recorded_us < ENTRY_LIFETIME_US
               ? entry->worker
               : 0;
}
