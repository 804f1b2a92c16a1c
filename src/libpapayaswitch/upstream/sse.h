/**
 * @file sse.h
 * @brief Takes server-sent events out of a stream of bytes.
 */
#ifndef PPS_UPSTREAM_SSE_H
#define PPS_UPSTREAM_SSE_H

#include "buf.h"

/** Largest event, in bytes; a larger one is corrupt. */
#define PPS_SSE_EVENT_MAX (1u << 20)

/** A parser; zero-initialise, free with pps_sse_clear(). */
typedef struct {
    pps_buf_t pending; /**< bytes not yet parsed; append to it */
    pps_buf_t data;    /**< data of the event under way */
    size_t scanned;
} pps_sse_t;

/**
 * Parses the next event.
 * @param out its data, joined by newlines; valid until the next call
 * @return 1 with an event; 0 when more bytes are needed; PPS_ECORRUPT
 */
int
pps_sse_next(pps_sse_t *sse, const char **out);

/** Frees the buffers. */
void
pps_sse_clear(pps_sse_t *sse);

#endif
