/**
 * @file seen_ring.h
 * @brief Remembers which datagrams a host has handled and forwarded.
 *
 * A datagram arrives over several paths. Each of its duties is carried out
 * once. The number of remembered datagrams and the time are bounded; what is
 * forgotten is forwarded once more, which is harmless.
 */
#ifndef PPS_GOSSIP_SEEN_RING_H
#define PPS_GOSSIP_SEEN_RING_H

#include <stddef.h>
#include <stdint.h>

#define PPS_SEEN_RING_SIZE 512

typedef struct {
    uint64_t digest;
    int64_t at_us; /* of the first arrival; 0: unused */
    unsigned int done;
} pps_seen_t;

/** Zero-initialized when empty. */
typedef struct {
    pps_seen_t entries[PPS_SEEN_RING_SIZE];
    size_t next;
} pps_seen_ring_t;

/** Notes that duties (a bit set) are carried out for a datagram.
 * @return those that have not been yet */
unsigned int
pps_seen_ring_take(pps_seen_ring_t *ring, uint64_t digest, unsigned int duties,
                   int64_t now_us);

#endif
