/** @file copy_queue.c @brief Bounds the copies that a host sends at once. */
#include "copy_queue.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_MBPS 10
/** Divisor of the link's speed: the rest is for callers. */
#define LINK_PART 2
/** Least time that is counted for a copy: connecting, answering and writing on
 * 0.12 of a core. It bounds the number of small copies. */
#define COPY_MIN_US (2 * PPS_US_PER_MS)
/** Time for which a host that got a copy is named to others. */
#define RECENT_US (3 * PPS_US_PER_S)

static int64_t
sending_us(size_t size, int64_t link_mbps)
{
    int64_t mbps = link_mbps > 0 ? link_mbps : DEFAULT_MBPS;
    int64_t us = (int64_t)size * 8 * LINK_PART / mbps;

    return us > COPY_MIN_US ? us : COPY_MIN_US;
}

int
pps_copy_queue_accept(pps_copy_queue_t *queue, size_t size, int64_t link_mbps,
                      int64_t now_us)
{
    int64_t start_us = queue->free_us > now_us ? queue->free_us : now_us;
    int64_t end_us = start_us + sending_us(size, link_mbps);

    if (start_us > now_us && end_us - now_us > PPS_COPY_QUEUE_MAX_US) {
        return 0;
    }
    queue->free_us = end_us;
    return 1;
}

void
pps_copy_queue_note(pps_copy_queue_t *queue, const char *address)
{
    snprintf(queue->recent[queue->next], PPS_COPY_ADDRESS_BYTES, "%s",
             address);
    queue->recent_us[queue->next] = queue->free_us;
    queue->next = (queue->next + 1) % PPS_COPY_RECENT;
}

void
pps_copy_queue_list(char *out, size_t size, const pps_copy_queue_t *queue,
                    int64_t now_us)
{
    size_t used = 0;

    out[0] = '\0';
    for (unsigned int i = 0; i < PPS_COPY_RECENT; i++) {
        const char *address = queue->recent[i];

        if (address[0] != '\0' && queue->recent_us[i] <= now_us &&
            now_us - queue->recent_us[i] < RECENT_US &&
            used + strlen(address) + 2 <= size) {
            used += (size_t)snprintf(out + used, size - used, "%s%s",
                                     used > 0 ? "," : "", address);
        }
    }
}
