/** @file gossip_play_queue.c @brief Datagrams by their millisecond of arrival.
 */
#include "gossip_play_queue.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 65536

typedef struct {
    gossip_play_datagram_t *first;
    gossip_play_datagram_t **last;
} slot_t;

struct gossip_play_queue {
    slot_t slots[SLOTS];
};

gossip_play_queue_t *
gossip_play_queue_new(void)
{
    gossip_play_queue_t *queue = calloc(1, sizeof(*queue));

    cr_assert_not_null(queue);
    return queue;
}

void
gossip_play_queue_free(gossip_play_queue_t *queue)
{
    for (size_t i = 0; i < SLOTS; i++) {
        gossip_play_datagram_t *datagram = queue->slots[i].first;

        while (datagram != NULL) {
            gossip_play_datagram_t *next = datagram->next;

            free(datagram);
            datagram = next;
        }
    }
    free(queue);
}

void
gossip_play_queue_add(gossip_play_queue_t *queue, unsigned int to,
                      const void *data, size_t size, int64_t now_ms,
                      int64_t delay_ms)
{
    slot_t *slot = &queue->slots[(size_t)(now_ms + delay_ms) % SLOTS];
    gossip_play_datagram_t *datagram = malloc(sizeof(*datagram) + size);

    cr_assert_not_null(datagram);
    datagram->next = NULL;
    datagram->to = to;
    datagram->size = size;
    memcpy(datagram->data, data, size);
    if (slot->first == NULL) {
        slot->last = &slot->first;
    }
    *slot->last = datagram;
    slot->last = &datagram->next;
}

gossip_play_datagram_t *
gossip_play_queue_take(gossip_play_queue_t *queue, int64_t now_ms)
{
    slot_t *slot = &queue->slots[(size_t)now_ms % SLOTS];
    gossip_play_datagram_t *first = slot->first;

    slot->first = NULL;
    return first;
}
