/** @file input_queue.c @brief Keeps input in one buffer with an offset. */
#include "input_queue.h"

/** Bytes from which on nothing more is read from the caller. */
#define FULL_BYTES 65536

int
pps_input_queue_add(pps_input_queue_t *queue, const char *data, size_t size)
{
    if (queue->used > 0) {
        pps_buf_consume(&queue->bytes, queue->used);
        queue->used = 0;
    }
    return pps_buf_append(&queue->bytes, data, size);
}

const char *
pps_input_queue_data(const pps_input_queue_t *queue)
{
    return queue->bytes.data + queue->used;
}

size_t
pps_input_queue_size(const pps_input_queue_t *queue)
{
    return queue->bytes.size - queue->used;
}

void
pps_input_queue_use(pps_input_queue_t *queue, size_t size)
{
    queue->used += size;
    if (queue->used >= queue->bytes.size) {
        pps_input_queue_clear(queue);
    }
}

int
pps_input_queue_is_full(const pps_input_queue_t *queue)
{
    return pps_input_queue_size(queue) >= FULL_BYTES;
}

void
pps_input_queue_clear(pps_input_queue_t *queue)
{
    pps_buf_clear(&queue->bytes);
    queue->used = 0;
}
