/** @file http_channel.c @brief HTTP client connection on libuv. */
#include "http_channel.h"

#include "address.h"
#include "clock.h"
#include "papayaswitch/errors.h"
#include "tcp_write.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/** An idle channel expires this long before the server would close it. */
#define KEEP_ALIVE_MARGIN_US (700 * PPS_US_PER_MS)
/** Bytes that a server may send before the head of the answer: interim answers
 * and answers to other requests. */
#define BEFORE_HEAD_BYTES_MAX (1U << 20)

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
    http_parser parser;
    channel_state_t state;
    const pps_channel_ops_t *ops; /* of the call in progress, or NULL */
    void *user;
    pps_buf_t unsent;         /* request of a call made while connecting */
    size_t before_head_bytes; /* received before the head of the response */
    int has_head;
    int sent;     /* nonzero if bytes of the call may have been written */
    int skipping; /* the response being read is interim or of another call */
    int reusable; /* the response allows keep-alive */
    unsigned int call_count;
    unsigned int user_timeout_ms;
    int64_t idle_since_us;
    int64_t expires_us;
    pps_http_reply_t reply;
    pps_timer_t connect_timer;
    pps_channel_closed_fn on_closed;
    void *owner;
};

static void
on_handle_closed(uv_handle_t *handle)
{
    pps_http_channel_t *channel = handle->data;

    pps_buf_clear(&channel->unsent);
    pps_headers_clear(&channel->reply.headers);
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

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    pps_http_channel_t *channel = parser->data;

    pps_headers_append_name(&channel->reply.headers, data, size);
    return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    pps_http_channel_t *channel = parser->data;

    pps_headers_append_value(&channel->reply.headers, data, size);
    return 0;
}

static int
on_message_begin(http_parser *parser)
{
    pps_http_channel_t *channel = parser->data;

    pps_headers_reset(&channel->reply.headers);
    channel->skipping = 0;
    /* A response without a call in progress is an error. */
    return channel->ops == NULL ? -1 : 0;
}

static void
read_keep_alive(pps_http_channel_t *channel)
{
    const char *text = pps_headers_get(&channel->reply.headers, "keep-alive");
    const char *timeout = text ? strstr(text, "timeout=") : NULL;

    channel->expires_us = INT64_MAX;
    if (timeout != NULL) {
        channel->expires_us =
            channel->reactor->now_us +
            strtol(timeout + strlen("timeout="), NULL, 10) * PPS_US_PER_S -
            KEEP_ALIVE_MARGIN_US;
    }
}

static int
on_headers_complete(http_parser *parser)
{
    pps_http_channel_t *channel = parser->data;
    int interim = parser->status_code < 200;

    pps_headers_end(&channel->reply.headers);
    channel->reply.status = parser->status_code;
    if (interim) {
        channel->skipping = 1;
        return 0;
    }
    if (channel->ops == NULL || channel->reply.headers.overflow) {
        return -1;
    }
    read_keep_alive(channel);
    channel->reusable = http_should_keep_alive(parser);
    channel->skipping = channel->ops->on_head(channel->user, &channel->reply);
    channel->has_head = !channel->skipping;
    /* The owner may have closed the channel in on_head. */
    return channel->state == CHANNEL_CLOSED ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    pps_http_channel_t *channel = parser->data;

    if (!channel->skipping && channel->ops != NULL) {
        channel->ops->on_body(channel->user, data, size);
    }
    return channel->state == CHANNEL_CLOSED ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    pps_http_channel_t *channel = parser->data;

    if (!channel->skipping) {
        http_parser_pause(parser, 1);
    }
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/* Completes the call and closes a connection that cannot be reused. */
static void
finish_call(pps_http_channel_t *channel, size_t surplus_bytes, int at_eof)
{
    const pps_channel_ops_t *ops = channel->ops;
    void *user = channel->user;

    channel->ops = NULL;
    if (surplus_bytes > 0 || at_eof || !channel->reusable ||
        channel->tcp.write_queue_size > 0) {
        pps_http_channel_close(channel);
    }
    else {
        http_parser_pause(&channel->parser, 0);
        channel->state = CHANNEL_IDLE;
        channel->idle_since_us = channel->reactor->now_us;
    }
    ops->on_end(user);
}

/* Checks for a reset, which libuv reports as end of file right after data. */
static int
was_reset(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    char byte;

    return uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    pps_http_channel_t *channel = stream->data;
    size_t used;
    enum http_errno error;

    if (size == 0) {
        return;
    }
    if (size < 0 && (size != UV_EOF || was_reset(&channel->tcp))) {
        fail_call(channel, PPS_CHANNEL_BROKEN);
        return;
    }
    if (channel->ops == NULL) {
        pps_http_channel_close(channel);
        return;
    }
    if (!channel->has_head && size > 0) {
        channel->before_head_bytes += (size_t)size;
    }
    if (channel->before_head_bytes > BEFORE_HEAD_BYTES_MAX) {
        fail_call(channel, PPS_CHANNEL_MALFORMED);
        return;
    }
    used = http_parser_execute(&channel->parser, &parser_settings,
                               buffer->base, size < 0 ? 0 : (size_t)size);
    if (channel->state == CHANNEL_CLOSED) {
        return;
    }
    error = HTTP_PARSER_ERRNO(&channel->parser);
    if (error == HPE_PAUSED) {
        finish_call(channel, size < 0 ? 0 : (size_t)size - used, size < 0);
        return;
    }
    if (error != HPE_OK) {
        fail_call(channel,
                  size < 0 ? PPS_CHANNEL_BROKEN : PPS_CHANNEL_MALFORMED);
        return;
    }
    if (size < 0) {
        fail_call(channel, PPS_CHANNEL_BROKEN);
    }
}

static int
write_call(pps_http_channel_t *channel, const void *text, size_t size)
{
    uv_buf_t piece = uv_buf_init((char *)text, (unsigned int)size);

    channel->sent = 1;
    return pps_tcp_write(&channel->tcp, &piece, 1);
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
        close_and_report(channel, PPS_CHANNEL_UNSENT);
        return;
    }
    uv_tcp_nodelay(&channel->tcp, 1);
    pps_tcp_set_user_timeout(&channel->tcp, channel->user_timeout_ms);
    uv_read_start((uv_stream_t *)&channel->tcp, pps_tcp_get_read_buffer,
                  on_read);
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
    close_and_report(user, PPS_CHANNEL_UNSENT);
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
    channel->expires_us = INT64_MAX;
    channel->on_closed = on_closed;
    channel->owner = owner;
    http_parser_init(&channel->parser, HTTP_RESPONSE);
    channel->parser.data = channel;
    uv_tcp_init(&reactor->loop, &channel->tcp);
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
    channel->before_head_bytes = 0;
    channel->has_head = 0;
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
