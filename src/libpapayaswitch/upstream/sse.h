/**
 * @file sse.h
 * @brief Parses the server-sent events of an engine's byte stream.
 */
#ifndef PPS_UPSTREAM_SSE_H
#define PPS_UPSTREAM_SSE_H

#include "buf.h"

/** Maximum size in bytes of an event plus the bytes not yet parsed. */
#define PPS_SSE_EVENT_MAX (1u << 20)

/** A parser; zero-initialize it, and free it with pps_sse_clear(). */
typedef struct {
    pps_buf_t pending;     /**< bytes to parse; the caller appends */
    pps_buf_t data;        /**< data of the current event */
    size_t event_returned; /**< 1: the next call discards `data` */
} pps_sse_t;

/**
 * Parses the next event.
 * @param out its data lines, joined by newlines; valid until the next call
 * @return 1 with an event; 0 if more bytes are needed; PPS_ECORRUPT if
 *         PPS_SSE_EVENT_MAX is exceeded
 */
int
pps_sse_next(pps_sse_t *sse, const char **out);

/** Frees the buffers. */
void
pps_sse_clear(pps_sse_t *sse);

#endif
