/**
 * @file input_queue.h
 * @brief Bytes of a caller that wait until the answer before them has ended.
 * Does no I/O.
 *
 * Each byte is kept once. Above a mark nothing more is to be read from the
 * caller until the bytes have been used, so that a caller that sends ahead is
 * held back and not cut off.
 */
#ifndef PPS_TRANSPORT_INPUT_QUEUE_H
#define PPS_TRANSPORT_INPUT_QUEUE_H

#include "buf.h"

/** Bytes that wait. Zero-initialize it; free with pps_input_queue_clear(). */
typedef struct {
    pps_buf_t bytes;
    size_t used; /**< of the bytes, from their begin */
} pps_input_queue_t;

/** Appends bytes. @return 0 or PPS_ENOMEM */
int
pps_input_queue_add(pps_input_queue_t *queue, const char *data, size_t size);

/** Returns the bytes that wait, valid until some are added or used. */
const char *
pps_input_queue_data(const pps_input_queue_t *queue);

/** Returns the number of bytes that wait. */
size_t
pps_input_queue_size(const pps_input_queue_t *queue);

/** Removes bytes from the begin. Frees the memory with the last one. */
void
pps_input_queue_use(pps_input_queue_t *queue, size_t size);

/** Returns whether so much waits that nothing more is to be read. */
int
pps_input_queue_is_full(const pps_input_queue_t *queue);

/** Removes all bytes and frees the memory. */
void
pps_input_queue_clear(pps_input_queue_t *queue);

#endif
