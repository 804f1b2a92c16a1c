/** @file seen_ring.c @brief Remembers handled datagrams. */
#include "seen_ring.h"

#include "clock.h"

/** Time after which a datagram of the same bytes counts as another one: longer
 * than the copies of one need on their paths. */
#define KEPT_US (2 * PPS_US_PER_S)

unsigned int
pps_seen_ring_take(pps_seen_ring_t *ring, uint64_t digest, unsigned int duties,
                   int64_t now_us)
{
    pps_seen_t *entry = NULL;
    unsigned int left;

    for (size_t i = 0; i < PPS_SEEN_RING_SIZE; i++) {
        if (ring->entries[i].digest == digest && ring->entries[i].at_us != 0 &&
            now_us - ring->entries[i].at_us < KEPT_US) {
            entry = &ring->entries[i];
            break;
        }
    }
    if (entry == NULL) {
        entry = &ring->entries[ring->next];
        ring->next = (ring->next + 1) % PPS_SEEN_RING_SIZE;
        *entry = (pps_seen_t){.digest = digest, .at_us = now_us};
    }
    left = duties & ~entry->done;
    entry->done |= duties;
    return left;
}
