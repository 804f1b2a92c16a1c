/**
 * @file http_channel.h
 * @brief HTTP/1.1 client connection that carries one call at a time.
 *
 * A channel never resends a call. A failure states whether any byte of the
 * call may have been written, so that the caller knows if a retry is safe.
 */
#ifndef PPS_TRANSPORT_HTTP_CHANNEL_H
#define PPS_TRANSPORT_HTTP_CHANNEL_H

#include "channel_ops.h"
#include "reactor.h"

/** A client connection to one server. */
typedef struct pps_http_channel pps_http_channel_t;

/** Timeouts of a connection. */
typedef struct {
    int64_t connect_us;           /**< time limit for connecting */
    unsigned int user_timeout_ms; /**< as in pps_tcp_set_user_timeout() */
    const char *local_address; /**< IPv4 address to connect from; NULL: any */
    size_t read_bytes;         /**< most that is read at once; 0: any number */
} pps_channel_options_t;

/** Reports that a channel closes, also if its owner closed it; the owner must
 * drop its pointer. Called once, before `on_fail` or `on_end`; may be NULL. */
typedef void (*pps_channel_closed_fn)(void *user, pps_http_channel_t *channel);

/** Creates a channel and starts connecting; it frees itself after it closes.
 * @param address IPv4:PORT @return 0, PPS_EINVALID, PPS_ENOMEM or PPS_EIO */
int
pps_http_channel_new(pps_http_channel_t **out, pps_reactor_t *reactor,
                     const char *address, const pps_channel_options_t *options,
                     pps_channel_closed_fn on_closed, void *owner);

/** Sends the request `text` on an idle or connecting channel. Bytes that
 * cannot be written at once are copied. After an error the caller must close
 * the channel. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_http_channel_call(pps_http_channel_t *channel, const void *text,
                      size_t size, const pps_channel_ops_t *ops, void *user);

/** Closes the channel and drops a call in progress without `on_fail`. */
void
pps_http_channel_close(pps_http_channel_t *channel);

/** Stops to read the response of a call, until it is resumed. Bytes that have
 * been read are still reported. */
void
pps_http_channel_pause(pps_http_channel_t *channel);

/** Goes on to read. */
void
pps_http_channel_resume(pps_http_channel_t *channel);

/** Checks whether the channel is connected and has no call in progress. */
int
pps_http_channel_is_idle(const pps_http_channel_t *channel);

/** Returns the number of calls started on this channel. */
unsigned int
pps_http_channel_calls(const pps_http_channel_t *channel);

/** Returns when the channel last became idle, or 0 if never. */
int64_t
pps_http_channel_idle_since_us(const pps_http_channel_t *channel);

/** Returns when the Keep-Alive timeout is about to end, or INT64_MAX. */
int64_t
pps_http_channel_expires_us(const pps_http_channel_t *channel);

#endif
