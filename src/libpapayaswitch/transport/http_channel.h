/**
 * @file http_channel.h
 * @brief One HTTP/1.1 connection to a server, for one call at a time.
 *
 * Nothing is ever sent twice: whether any byte of a call may have reached the
 * other side is known exactly and told with a failure.
 */
#ifndef PPS_TRANSPORT_HTTP_CHANNEL_H
#define PPS_TRANSPORT_HTTP_CHANNEL_H

#include "headers.h"
#include "reactor.h"

/** A connection. */
typedef struct pps_http_channel pps_http_channel_t;

/** The head of an answer. */
typedef struct {
    unsigned int status;
    pps_headers_t headers;
} pps_http_reply_t;

/** Why a call failed. */
typedef enum {
    PPS_CHANNEL_UNSENT,   /**< no byte of the call was written */
    PPS_CHANNEL_BROKEN,   /**< the connection ended within the call */
    PPS_CHANNEL_MALFORMED /**< what came is no HTTP answer */
} pps_channel_failure_t;

/** What the caller is told of its call. */
typedef struct {
    /**
     * The head of an answer has come.
     * @return 0; nonzero when it belongs to another call: it is skipped
     */
    int (*head)(void *user, const pps_http_reply_t *reply);
    /** A piece of the body. */
    void (*body)(void *user, const char *data, size_t size);
    /** The answer is whole. The channel is idle, or closed when it cannot be
     * used again. */
    void (*end)(void *user);
    /** The call has failed and the channel is closed. */
    void (*fail)(void *user, pps_channel_failure_t failure);
} pps_channel_ops_t;

/** How connections are made. */
typedef struct {
    int64_t connect_us;           /**< longest wait for a connection */
    unsigned int user_timeout_ms; /**< longest wait for an acknowledgement */
} pps_channel_options_t;

/** Told once when an idle channel closes, so that its holder forgets it. */
typedef void (*pps_channel_closed_fn)(void *user, pps_http_channel_t *channel);

/** Begins a connection. @param address IP:PORT @return 0, PPS_EINVALID,
 * PPS_EIO */
int
pps_http_channel_new(pps_http_channel_t **out, pps_reactor_t *reactor,
                     const char *address, const pps_channel_options_t *options,
                     pps_channel_closed_fn closed, void *owner);

/** Sends a call on an idle or connecting channel; the text is copied when it
 * cannot be written at once. */
int
pps_http_channel_call(pps_http_channel_t *channel, const void *text,
                      size_t size, const pps_channel_ops_t *ops, void *user);

/** Closes, whatever is under way; nobody is told. */
void
pps_http_channel_close(pps_http_channel_t *channel);

/** Whether a call can be sent now. */
int
pps_http_channel_is_idle(const pps_http_channel_t *channel);

/** Calls begun on this channel. */
unsigned int
pps_http_channel_calls(const pps_http_channel_t *channel);

/** When the last call ended. */
int64_t
pps_http_channel_idle_since_us(const pps_http_channel_t *channel);

/** Until when the other side keeps an idle channel, or INT64_MAX. */
int64_t
pps_http_channel_expires_us(const pps_http_channel_t *channel);

#endif
