/** @file relay_call.c @brief Calls workers through a neighbour. */
#include "relay_call.h"

#include "clock.h"
#include "memory/window.h"
#include "papayaswitch/errors.h"
#include "relay_target.h"
#include "relay_wire.h"
#include "transport/reply_reader.h"

#include <stdlib.h>

#define NEIGHBOUR_CONNECT_US (200 * PPS_US_PER_MS)
/** Longest wait for an acknowledgement of bytes sent to a neighbour. */
#define NEIGHBOUR_USER_TIMEOUT_MS 2500

struct pps_relay_call {
    pps_http_channel_t *channel; /* to the neighbour; NULL: closed */
    pps_reply_reader_t reader;   /* of what the worker sends */
    const pps_channel_ops_t *ops;
    void *user;
    unsigned int status; /* the neighbour's, 0: none yet */
    int is_reading;      /* the reader is in use, so that it can't be freed */
    int is_closed;
};

static void
free_unless_reading(pps_relay_call_t *call)
{
    if (!call->is_reading) {
        pps_reply_reader_clear(&call->reader);
        free(call);
    }
}

void
pps_relay_call_close(pps_relay_call_t *call)
{
    call->is_closed = 1;
    pps_reply_reader_stop(&call->reader);
    if (call->channel != NULL) {
        pps_http_channel_close(call->channel);
        call->channel = NULL;
    }
    free_unless_reading(call);
}

void
pps_relay_call_pause(pps_relay_call_t *call)
{
    if (call->channel != NULL) {
        pps_http_channel_pause(call->channel);
    }
}

void
pps_relay_call_resume(pps_relay_call_t *call)
{
    if (call->channel != NULL) {
        pps_http_channel_resume(call->channel);
    }
}

static void
fail(pps_relay_call_t *call, pps_channel_failure_t failure)
{
    const pps_channel_ops_t *ops = call->ops;
    void *user = call->user;

    pps_relay_call_close(call);
    ops->on_fail(user, failure);
}

static void
finish(pps_relay_call_t *call)
{
    const pps_channel_ops_t *ops = call->ops;
    void *user = call->user;

    pps_relay_call_close(call);
    ops->on_end(user);
}

/* Feeds bytes of the worker. Returns the state, or PPS_REPLY_STOPPED if the
 * call was closed and freed meanwhile. */
static pps_reply_state_t
feed(pps_relay_call_t *call, const char *data, size_t size)
{
    size_t used;
    pps_reply_state_t state;

    call->is_reading = 1;
    state = pps_reply_reader_feed(&call->reader, data, size, &used);
    call->is_reading = 0;
    if (call->is_closed) {
        free_unless_reading(call);
        return PPS_REPLY_STOPPED;
    }
    return state;
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    pps_relay_call_t *call = user;

    call->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_relay_call_t *call = user;

    if (call->status != PPS_RELAY_CONNECTED) {
        return;
    }
    switch (feed(call, data, size)) {
    case PPS_REPLY_WHOLE:
        finish(call);
        break;
    case PPS_REPLY_MALFORMED:
        fail(call, PPS_CHANNEL_MALFORMED);
        break;
    case PPS_REPLY_MORE:
    case PPS_REPLY_STOPPED:
        break;
    }
}

static pps_channel_failure_t
failure_of(unsigned int status)
{
    switch (status) {
    case PPS_RELAY_REFUSED:
        return PPS_CHANNEL_REFUSED;
    case PPS_RELAY_UNANSWERED:
        return PPS_CHANNEL_UNANSWERED;
    case PPS_RELAY_UNKNOWN:
        return PPS_CHANNEL_RELAY_DECLINED;
    default:
        return PPS_CHANNEL_NO_RELAY;
    }
}

/* The worker has ended its connection in order, or the neighbour has refused
 * the call. */
static void
on_end(void *user)
{
    pps_relay_call_t *call = user;

    pps_http_channel_close(call->channel);
    call->channel = NULL;
    if (call->status != PPS_RELAY_CONNECTED) {
        fail(call, failure_of(call->status));
        return;
    }
    switch (feed(call, NULL, 0)) {
    case PPS_REPLY_WHOLE:
        finish(call);
        break;
    case PPS_REPLY_MORE:
    case PPS_REPLY_MALFORMED:
        fail(call, PPS_CHANNEL_BROKEN);
        break;
    case PPS_REPLY_STOPPED:
        break;
    }
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    pps_relay_call_t *call = user;

    call->channel = NULL;
    fail(call, pps_channel_is_unsent(failure) ? PPS_CHANNEL_NO_RELAY
                                              : PPS_CHANNEL_BROKEN);
}

static const pps_channel_ops_t neighbour_ops = {on_head, on_body, on_end,
                                                on_fail};

static int
open_channel(pps_relay_call_t *call, pps_reactor_t *reactor,
             const pps_relay_route_t *route)
{
    const pps_channel_options_t options = {
        .connect_us = NEIGHBOUR_CONNECT_US,
        .user_timeout_ms = NEIGHBOUR_USER_TIMEOUT_MS,
        .local_address = route->local_address,
        .read_bytes = PPS_WINDOW_READ_BYTES,
    };

    return pps_http_channel_new(&call->channel, reactor, route->neighbour,
                                &options, NULL, NULL);
}

static int
send_request(pps_relay_call_t *call, const pps_relay_route_t *route,
             const void *text, size_t size)
{
    const pps_relay_target_t target = {route->worker, route->slots};
    pps_buf_t request = PPS_BUF_INIT;
    int error;

    pps_buf_puts(&request, "POST ");
    pps_relay_target_write(&request, &target);
    pps_buf_printf(&request,
                   " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n"
                   "Content-Length: %zu\r\n\r\n",
                   size);
    pps_buf_append(&request, text, size);
    error = request.failed
                ? PPS_ENOMEM
                : pps_http_channel_call(call->channel, request.data,
                                        request.size, &neighbour_ops, call);
    pps_buf_clear(&request);
    return error;
}

int
pps_relay_call_new(pps_relay_call_t **out, pps_reactor_t *reactor,
                   const pps_relay_route_t *route, const void *text,
                   size_t size, const pps_channel_ops_t *ops, void *user)
{
    pps_relay_call_t *call = calloc(1, sizeof(*call));
    int error;

    if (call == NULL) {
        return PPS_ENOMEM;
    }
    call->ops = ops;
    call->user = user;
    pps_reply_reader_init(&call->reader);
    pps_reply_reader_begin(&call->reader, ops, user);
    error = open_channel(call, reactor, route);
    if (error == 0) {
        error = send_request(call, route, text, size);
    }
    if (error != 0) {
        pps_relay_call_close(call);
        return error;
    }
    *out = call;
    return PPS_OK;
}
