/**
 * @file channel_ops.h
 * @brief What the owner of a client connection is told of its call.
 */
#ifndef PPS_TRANSPORT_CHANNEL_OPS_H
#define PPS_TRANSPORT_CHANNEL_OPS_H

#include "headers.h"

/** Lowest and highest status code of a success. */
#define PPS_HTTP_SUCCESS_MIN 200
#define PPS_HTTP_SUCCESS_MAX 299

/** Returns whether a response with this status code is a success. */
static inline int
pps_http_status_is_success(unsigned int status)
{
    return status >= PPS_HTTP_SUCCESS_MIN && status <= PPS_HTTP_SUCCESS_MAX;
}

/** Status and header fields of a response. */
typedef struct {
    unsigned int status;
    pps_headers_t headers;
} pps_http_reply_t;

/** Why a call failed. */
typedef enum {
    PPS_CHANNEL_UNSENT,     /**< no byte of the call was written, for another
                                 reason than the two below */
    PPS_CHANNEL_UNANSWERED, /**< not connected in time: no byte was written */
    PPS_CHANNEL_REFUSED,    /**< connecting was refused: no byte was written */
    PPS_CHANNEL_NO_RELAY,   /**< the neighbour on the way did not pass the call
                                 on: no byte was written to the server */
    PPS_CHANNEL_RELAY_DECLINED, /**< the neighbour passes calls on, but sends
                                     nothing to this server now */
    PPS_CHANNEL_BROKEN, /**< the connection failed before the response ended */
    PPS_CHANNEL_MALFORMED, /**< invalid HTTP, over PPS_HEADERS_MAX fields, or
                                too much before the head of the answer */
    PPS_CHANNEL_TOO_LARGE, /**< more than the owner takes; reported by itself
                            */
} pps_channel_failure_t;

/** Returns whether no byte of a failed call was written, so that the server
 * can't have acted on it. */
static inline int
pps_channel_is_unsent(pps_channel_failure_t failure)
{
    return failure == PPS_CHANNEL_UNSENT ||
           failure == PPS_CHANNEL_UNANSWERED ||
           failure == PPS_CHANNEL_REFUSED || failure == PPS_CHANNEL_NO_RELAY ||
           failure == PPS_CHANNEL_RELAY_DECLINED;
}

/** Callbacks of one call, which ends with one `on_end` or `on_fail` unless the
 * owner closes the channel, as it may in any callback. */
typedef struct {
    /** Receives the head of a final response (status 200 and above).
     * @return 0, or nonzero to skip a response that belongs to another call */
    int (*on_head)(void *user, const pps_http_reply_t *reply);
    /** Receives a piece of the body, valid during the callback. */
    void (*on_body)(void *user, const char *data, size_t size);
    /** Reports a complete response. The channel is idle, or closed if it
     * cannot be reused. */
    void (*on_end)(void *user);
    /** Reports a failed call. The channel is closed. */
    void (*on_fail)(void *user, pps_channel_failure_t failure);
} pps_channel_ops_t;

#endif
