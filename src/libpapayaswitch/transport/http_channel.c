/** @file http_channel.c @brief HTTP client connection on libuv. */
#include "http_channel.h"

#include "address.h"
#include "clock.h"
#include "papayaswitch/errors.h"
#include "reply_reader.h"
#include "tcp_write.h"

#include <stdlib.h>

/** An idle channel expires this long before the server would close it. */
#define KEEP_ALIVE_MARGIN_US (700 * PPS_US_PER_MS)

typedef enum {
    CHANNEL_CONNECTING,
    CHANNEL_IDLE,
    CHANNEL_BUSY,
    CHANNEL_CLOSED,
} channel_state_t;

struct pps_http_channel {
    pps_reactor_t *reactor;
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_reply_reader_t reader;
    channel_state_t state;
    const pps_channel_ops_t *ops; /* of the call in progress, or NULL */
    void *user;
    pps_buf_t unsent; /* request of a call made while connecting */
    int sent;         /* nonzero if bytes of the call may have been written */
    int write_error;  /* of the connection; 0: no write has failed */
    unsigned int call_count;
    unsigned int user_timeout_ms;
    size_t read_bytes; /* most that is read at once; 0: any number */
    int64_t idle_since_us;
    int64_t expires_us;
    pps_timer_t connect_timer;
    pps_channel_closed_fn on_closed;
    void *owner;
};

static void
on_handle_closed(uv_handle_t *handle)
{
    pps_http_channel_t *channel = handle->data;

    pps_buf_clear(&channel->unsent);
    pps_reply_reader_clear(&channel->reader);
    free(channel);
}

void
pps_http_channel_close(pps_http_channel_t *channel)
{
    if (channel->state == CHANNEL_CLOSED) {
        return;
    }
    channel->state = CHANNEL_CLOSED;
    channel->ops = NULL;
    pps_reply_reader_stop(&channel->reader);
    pps_timers_cancel(&channel->connect_timer);
    uv_close((uv_handle_t *)&channel->tcp, on_handle_closed);
    if (channel->on_closed != NULL) {
        channel->on_closed(channel->owner, channel);
    }
}

static void
close_and_report(pps_http_channel_t *channel, pps_channel_failure_t failure)
{
    const pps_channel_ops_t *ops = channel->ops;
    void *user = channel->user;

    pps_http_channel_close(channel);
    if (ops != NULL) {
        ops->on_fail(user, failure);
    }
}

/* Reports `failure`, or PPS_CHANNEL_UNSENT if nothing was written. */
static void
fail_call(pps_http_channel_t *channel, pps_channel_failure_t failure)
{
    close_and_report(channel, channel->sent ? failure : PPS_CHANNEL_UNSENT);
}

static void
set_expiry(pps_http_channel_t *channel)
{
    int64_t keep_alive_s = channel->reader.keep_alive_s;

    channel->expires_us = keep_alive_s < 0 ? INT64_MAX
                                           : channel->reactor->now_us +
                                                 keep_alive_s * PPS_US_PER_S -
                                                 KEEP_ALIVE_MARGIN_US;
}

/* Completes the call and closes a connection that cannot be reused. */
static void
finish_call(pps_http_channel_t *channel, size_t surplus_bytes, int at_eof)
{
    const pps_channel_ops_t *ops = channel->ops;
    void *user = channel->user;

    channel->ops = NULL;
    set_expiry(channel);
    if (surplus_bytes > 0 || at_eof || !channel->reader.reusable ||
        channel->write_error != 0 || channel->tcp.write_queue_size > 0) {
        pps_http_channel_close(channel);
    }
    else {
        channel->state = CHANNEL_IDLE;
        channel->idle_since_us = channel->reactor->now_us;
    }
    ops->on_end(user);
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    pps_http_channel_t *channel = stream->data;
    size_t used;

    if (size == 0) {
        return;
    }
    if (size < 0 &&
        !pps_tcp_ended_in_order(&channel->tcp, size, channel->write_error)) {
        fail_call(channel, PPS_CHANNEL_BROKEN);
        return;
    }
    if (channel->ops == NULL) {
        pps_http_channel_close(channel);
        return;
    }
    switch (pps_reply_reader_feed(&channel->reader, buffer->base,
                                  size < 0 ? 0 : (size_t)size, &used)) {
    case PPS_REPLY_STOPPED:
        return;
    case PPS_REPLY_WHOLE:
        finish_call(channel, size < 0 ? 0 : (size_t)size - used, size < 0);
        return;
    case PPS_REPLY_MALFORMED:
        fail_call(channel,
                  size < 0 ? PPS_CHANNEL_BROKEN : PPS_CHANNEL_MALFORMED);
        return;
    case PPS_REPLY_MORE:
        break;
    }
    if (size < 0) {
        fail_call(channel, PPS_CHANNEL_BROKEN);
    }
}

static void
get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out)
{
    const pps_http_channel_t *channel = handle->data;

    pps_tcp_get_read_buffer(handle, wanted, out);
    if (channel->read_bytes > 0 && channel->read_bytes < out->len) {
        out->len = channel->read_bytes;
    }
}

void
pps_http_channel_pause(pps_http_channel_t *channel)
{
    if (channel->state == CHANNEL_BUSY) {
        uv_read_stop((uv_stream_t *)&channel->tcp);
    }
}

void
pps_http_channel_resume(pps_http_channel_t *channel)
{
    if (channel->state == CHANNEL_BUSY) {
        uv_read_start((uv_stream_t *)&channel->tcp, get_read_buffer, on_read);
    }
}

/* The answer may be complete all the same, so it is read to its end. */
static void
on_written(void *user, int error)
{
    pps_http_channel_t *channel = user;

    if (error != 0) {
        channel->write_error = error;
    }
}

static int
write_call(pps_http_channel_t *channel, const void *text, size_t size)
{
    uv_buf_t piece = uv_buf_init((char *)text, (unsigned int)size);

    channel->sent = 1;
    return pps_tcp_write_then(&channel->tcp, &piece, 1, on_written, channel);
}

static void
on_connected(uv_connect_t *request, int status)
{
    pps_http_channel_t *channel = request->data;

    if (channel->state == CHANNEL_CLOSED) {
        return;
    }
    pps_timers_cancel(&channel->connect_timer);
    if (status != 0) {
        close_and_report(channel,
                         status == UV_ECONNREFUSED || status == UV_ECONNRESET
                             ? PPS_CHANNEL_REFUSED
                             : PPS_CHANNEL_UNANSWERED);
        return;
    }
    uv_tcp_nodelay(&channel->tcp, 1);
    pps_tcp_set_user_timeout(&channel->tcp, channel->user_timeout_ms);
    uv_read_start((uv_stream_t *)&channel->tcp, get_read_buffer, on_read);
    if (channel->ops == NULL) {
        channel->state = CHANNEL_IDLE;
        channel->idle_since_us = channel->reactor->now_us;
        return;
    }
    channel->state = CHANNEL_BUSY;
    if (write_call(channel, channel->unsent.data, channel->unsent.size) != 0) {
        close_and_report(channel, PPS_CHANNEL_BROKEN);
        return;
    }
    pps_buf_clear(&channel->unsent);
}

static void
on_connect_timer(int64_t now_us, void *user)
{
    close_and_report(user, PPS_CHANNEL_UNANSWERED);
}

int
pps_http_channel_new(pps_http_channel_t **out, pps_reactor_t *reactor,
                     const char *address, const pps_channel_options_t *options,
                     pps_channel_closed_fn on_closed, void *owner)
{
    struct sockaddr_in endpoint;
    pps_http_channel_t *channel;

    if (pps_address_parse(&endpoint, address) != 0) {
        return pps_error_set(PPS_EINVALID, "%s: not an IPv4 address and port",
                             address);
    }
    channel = calloc(1, sizeof(*channel));
    if (channel == NULL) {
        return PPS_ENOMEM;
    }
    channel->reactor = reactor;
    channel->user_timeout_ms = options->user_timeout_ms;
    channel->read_bytes = options->read_bytes;
    channel->expires_us = INT64_MAX;
    channel->on_closed = on_closed;
    channel->owner = owner;
    pps_reply_reader_init(&channel->reader);
    pps_tcp_init_from(&channel->tcp, &reactor->loop, options->local_address);
    channel->tcp.data = channel;
    channel->connect.data = channel;
    if (uv_tcp_connect(&channel->connect, &channel->tcp,
                       (struct sockaddr *)&endpoint, on_connected) != 0) {
        channel->on_closed = NULL;
        pps_http_channel_close(channel);
        return PPS_EIO;
    }
    pps_reactor_after(reactor, &channel->connect_timer, options->connect_us,
                      on_connect_timer, channel);
    *out = channel;
    return PPS_OK;
}

int
pps_http_channel_call(pps_http_channel_t *channel, const void *text,
                      size_t size, const pps_channel_ops_t *ops, void *user)
{
    channel->ops = ops;
    channel->user = user;
    channel->sent = 0;
    pps_reply_reader_begin(&channel->reader, ops, user);
    channel->call_count++;
    if (channel->state == CHANNEL_CONNECTING) {
        return pps_buf_append(&channel->unsent, text, size);
    }
    channel->state = CHANNEL_BUSY;
    return write_call(channel, text, size);
}

int
pps_http_channel_is_idle(const pps_http_channel_t *channel)
{
    return channel->state == CHANNEL_IDLE;
}

unsigned int
pps_http_channel_calls(const pps_http_channel_t *channel)
{
    return channel->call_count;
}

int64_t
pps_http_channel_idle_since_us(const pps_http_channel_t *channel)
{
    return channel->idle_since_us;
}

int64_t
pps_http_channel_expires_us(const pps_http_channel_t *channel)
{
    return channel->expires_us;
}
