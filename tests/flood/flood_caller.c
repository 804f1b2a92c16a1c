/** @file flood_caller.c @brief Callers that may stop to read for a time. */
#include "flood.h"

#include "transport/address.h"
#include "transport/reply_reader.h"
#include "transport/tcp_write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_BYTES 256
#define RECEIVE_BUFFER_BYTES 8192
#define STATUS_UNAVAILABLE 503

typedef struct {
    pps_reactor_t *reactor;
    const flood_reading_t *reading;
    flood_counts_t *counts;
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_reply_reader_t reader;
    pps_timer_t timer;
    unsigned int status;
    size_t body_bytes;
    int has_paused;
    int is_ended;
} caller_t;

static unsigned int next_id;

static void
on_closed(uv_handle_t *handle)
{
    caller_t *caller = handle->data;

    pps_reply_reader_clear(&caller->reader);
    free(caller);
}

static void
end(caller_t *caller, int is_whole)
{
    flood_counts_t *counts = caller->counts;
    int is_expected = caller->body_bytes == caller->reading->body_bytes;

    if (caller->is_ended) {
        return;
    }
    caller->is_ended = 1;
    if (is_whole && caller->status == STATUS_UNAVAILABLE) {
        counts->refused++;
    }
    else if (is_whole && pps_http_status_is_success(caller->status)) {
        counts->served += is_expected;
        counts->false_ends += !is_expected;
    }
    else {
        counts->failed++;
    }
    pps_timers_cancel(&caller->timer);
    uv_close((uv_handle_t *)&caller->tcp, on_closed);
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    ((caller_t *)user)->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    ((caller_t *)user)->body_bytes += size;
}

static const pps_channel_ops_t ops = {.on_head = on_head, .on_body = on_body};

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

static void
on_pause_over(int64_t now_us, void *user)
{
    caller_t *caller = user;

    uv_read_start((uv_stream_t *)&caller->tcp, pps_tcp_get_read_buffer,
                  on_read);
}

static void
pause_if_due(caller_t *caller)
{
    const flood_reading_t *reading = caller->reading;

    if (reading->pause_behind > 0 && !caller->has_paused &&
        caller->body_bytes >= reading->pause_behind) {
        caller->has_paused = 1;
        uv_read_stop((uv_stream_t *)&caller->tcp);
        pps_reactor_after(caller->reactor, &caller->timer, reading->pause_us,
                          on_pause_over, caller);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    caller_t *caller = stream->data;
    size_t used;

    if (size == 0) {
        return;
    }
    if (size < 0) {
        end(caller, 0);
        return;
    }
    switch (pps_reply_reader_feed(&caller->reader, buffer->base, (size_t)size,
                                  &used)) {
    case PPS_REPLY_MORE:
        pause_if_due(caller);
        break;
    case PPS_REPLY_WHOLE:
        end(caller, 1);
        break;
    default:
        end(caller, 0);
        break;
    }
}

/* Returns a body that ends with FLOOD_BODY_END. */
static char *
body_of(size_t size)
{
    static char body[FLOOD_UPLOAD_MAX];
    const size_t end = strlen(FLOOD_BODY_END);

    if (body[0] == '\0') {
        memset(body, 'u', sizeof(body));
        memcpy(body + sizeof(body) - end, FLOOD_BODY_END, end);
    }
    return body + sizeof(body) - size;
}

static void
send_request(caller_t *caller)
{
    const flood_reading_t *reading = caller->reading;
    size_t sent = reading->upload_bytes - (size_t)reading->is_held_back;
    char head[HEAD_BYTES];
    uv_buf_t pieces[2];

    snprintf(head, sizeof(head),
             "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: f%u\r\n"
             "%sX-Deadline-Ms: 30000\r\nContent-Length: %zu\r\n\r\n",
             reading->path, next_id++, reading->key, reading->upload_bytes);
    pieces[0] = uv_buf_init(head, (unsigned int)strlen(head));
    pieces[1] =
        uv_buf_init(body_of(reading->upload_bytes), (unsigned int)sent);
    pps_tcp_write(&caller->tcp, pieces, 2);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    caller_t *caller = connect->data;

    if (status != 0) {
        end(caller, 0);
        return;
    }
    send_request(caller);
    uv_read_start((uv_stream_t *)&caller->tcp, pps_tcp_get_read_buffer,
                  on_read);
}

void
flood_caller_start(pps_reactor_t *reactor, const char *address,
                   const flood_reading_t *reading, flood_counts_t *counts)
{
    caller_t *caller = calloc(1, sizeof(*caller));
    struct sockaddr_in endpoint;
    int buffer_bytes = RECEIVE_BUFFER_BYTES;

    caller->reactor = reactor;
    caller->reading = reading;
    caller->counts = counts;
    counts->sent++;
    pps_reply_reader_init(&caller->reader);
    pps_reply_reader_begin(&caller->reader, &ops, caller);
    pps_address_parse(&endpoint, address);
    uv_tcp_init_ex(&reactor->loop, &caller->tcp, AF_INET);
    caller->tcp.data = caller;
    caller->connect.data = caller;
    if (reading->pause_behind > 0) {
        uv_recv_buffer_size((uv_handle_t *)&caller->tcp, &buffer_bytes);
    }
    if (uv_tcp_connect(&caller->connect, &caller->tcp,
                       (struct sockaddr *)&endpoint, on_connected) != 0) {
        end(caller, 0);
    }
}
