/**
 * @file copy_queue.h
 * @brief Bounds the copies of topics that a host sends at once. Does no I/O
 * and reads no clock.
 *
 * A host accepts as many copies as half of its link can send within
 * PPS_COPY_QUEUE_MAX_US; the other half is left to callers. More copies at
 * once would arrive later at everyone, and a host that waits could get its
 * copy from one that already has it.
 */
#ifndef PPS_MIRROR_COPY_QUEUE_H
#define PPS_MIRROR_COPY_QUEUE_H

#include "copy_sources.h"

#include <stddef.h>
#include <stdint.h>

/** Time within which the copies that have been accepted are sent. */
#define PPS_COPY_QUEUE_MAX_US 200000
/** Number of hosts that are remembered as having got a copy. */
#define PPS_COPY_RECENT 8

/** Copies that are being sent. Initialize to zero. */
typedef struct {
    int64_t free_us; /**< when the copies accepted so far have been sent */
    char recent[PPS_COPY_RECENT][PPS_COPY_ADDRESS_BYTES]; /**< "": unused */
    int64_t recent_us[PPS_COPY_RECENT]; /**< when their copies were sent */
    unsigned int next;                  /**< entry of `recent` to replace */
} pps_copy_queue_t;

/** Accepts or refuses a copy of `size` bytes. An idle host accepts any size.
 * @param link_mbps speed of the link; 0: unknown, taken as 10
 * @return nonzero if accepted */
int
pps_copy_queue_accept(pps_copy_queue_t *queue, size_t size, int64_t link_mbps,
                      int64_t now_us);

/** Notes who has got the copy that was accepted last. */
void
pps_copy_queue_note(pps_copy_queue_t *queue, const char *address);

/** Writes the addresses of hosts that have got a copy in the last seconds,
 * separated by commas; "" if there are none. */
void
pps_copy_queue_list(char *out, size_t size, const pps_copy_queue_t *queue,
                    int64_t now_us);

#endif
