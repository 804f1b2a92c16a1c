/** @file gossip_play_queue.h @brief Datagrams under way in a play. */
#ifndef PPS_TESTS_GOSSIP_PLAY_QUEUE_H
#define PPS_TESTS_GOSSIP_PLAY_QUEUE_H

#include <stddef.h>
#include <stdint.h>

typedef struct gossip_play_datagram {
    struct gossip_play_datagram *next;
    unsigned int to;
    size_t size;
    char data[];
} gossip_play_datagram_t;

typedef struct gossip_play_queue gossip_play_queue_t;

gossip_play_queue_t *
gossip_play_queue_new(void);

void
gossip_play_queue_free(gossip_play_queue_t *queue);

/** Adds a datagram that arrives after a delay of at most a minute. */
void
gossip_play_queue_add(gossip_play_queue_t *queue, unsigned int to,
                      const void *data, size_t size, int64_t now_ms,
                      int64_t delay_ms);

/** Takes the datagrams that arrive in a millisecond, in the order of their
 * sending; the caller frees each. */
gossip_play_datagram_t *
gossip_play_queue_take(gossip_play_queue_t *queue, int64_t now_ms);

#endif
