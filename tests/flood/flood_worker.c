/** @file flood_worker.c @brief Workers that send as their form says. */
#include "flood.h"

#include "buf.h"
#include "transport/tcp_write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PIECE_BYTES (16U << 10)
#define FIELDS_BYTES 160
#define SEND_TIME_MAX_US (8 * PPS_US_PER_S)
/** A worker waits this long before it looks whether its bytes were taken. */
#define SEND_INTERVAL_US (20 * PPS_US_PER_MS)
/** A caller's host that leaves an answer unread for longer is cut off. */
#define UNREAD_MAX_US (10 * PPS_US_PER_S)

typedef struct {
    uv_tcp_t tcp;
    flood_worker_t *worker;
    pps_buf_t got;
    pps_buf_t piece;
    pps_timer_t timer;
    int64_t begun_us;
    int64_t taken_us; /* when all bytes were last taken */
    size_t sent;
    unsigned int events;
} peer_t;

static void
on_closed(uv_handle_t *handle)
{
    peer_t *peer = handle->data;

    pps_buf_clear(&peer->got);
    pps_buf_clear(&peer->piece);
    free(peer);
}

static void
close_peer(peer_t *peer)
{
    pps_timers_cancel(&peer->timer);
    if (!uv_is_closing((uv_handle_t *)&peer->tcp)) {
        uv_close((uv_handle_t *)&peer->tcp, on_closed);
    }
}

/* An answer without a length ends in order with its connection. */
static void
reset_peer(peer_t *peer)
{
    pps_timers_cancel(&peer->timer);
    uv_tcp_close_reset(&peer->tcp, on_closed);
}

static void
send_bytes(peer_t *peer, const char *data, size_t size)
{
    uv_buf_t piece = uv_buf_init((char *)data, (unsigned int)size);

    peer->sent += size;
    pps_tcp_write(&peer->tcp, &piece, 1);
}

/* Sends the next events of a stream. Returns whether they were the last. */
static int
send_events(peer_t *peer)
{
    char event[FLOOD_EVENT_BYTES + 16];
    char data[FLOOD_EVENT_BYTES];
    int size;

    memset(data, 'x', sizeof(data));
    while (peer->events < FLOOD_EVENTS && peer->tcp.write_queue_size == 0) {
        size = snprintf(event, sizeof(event),
                        "%x\r\nid: %08u\ndata: %.*s\n\n"
                        "\r\n",
                        FLOOD_EVENT_BYTES, ++peer->events,
                        FLOOD_EVENT_BYTES - 21, data);
        send_bytes(peer, event, (size_t)size);
    }
    if (peer->events == FLOOD_EVENTS) {
        send_bytes(peer, "0\r\n\r\n", 5);
    }
    return peer->events == FLOOD_EVENTS;
}

static int
is_over(const peer_t *peer)
{
    const flood_form_t *form = peer->worker->form;
    int64_t now_us = peer->worker->reactor->now_us;

    return form->kind == FLOOD_ENDLESS &&
           (peer->sent > form->bytes ||
            now_us - peer->begun_us > SEND_TIME_MAX_US);
}

static void
on_send_timer(int64_t now_us, void *user)
{
    peer_t *peer = user;
    const flood_form_t *form = peer->worker->form;

    if (peer->tcp.write_queue_size > 0) {
        if (now_us - peer->taken_us > UNREAD_MAX_US) {
            close_peer(peer);
        }
        return;
    }
    peer->taken_us = now_us;
    if (form->kind == FLOOD_STREAM) {
        if (send_events(peer)) {
            pps_timers_cancel(&peer->timer);
        }
        return;
    }
    if (is_over(peer)) {
        reset_peer(peer);
        return;
    }
    if (form->kind == FLOOD_ENDLESS || peer->sent < form->bytes) {
        send_bytes(peer, peer->piece.data, peer->piece.size);
    }
}

static void
write_fields(char *out, size_t size, const peer_t *peer)
{
    const char *field = strstr(pps_buf_text(&peer->got), "X-Request-Id: ");
    int length = field != NULL ? (int)strcspn(field, "\r") : 0;

    snprintf(out, size, "%.*s\r\nX-Response-Seal: %s\r\n", length, field,
             peer->worker->id);
}

static void
begin_flood(peer_t *peer, const char *fields)
{
    const flood_form_t *form = peer->worker->form;
    pps_reactor_t *reactor = peer->worker->reactor;
    const char *mark = strstr(form->begin, "%s");
    pps_buf_t begin = PPS_BUF_INIT;

    if (mark == NULL) {
        pps_buf_puts(&begin, form->begin);
    }
    else {
        pps_buf_append(&begin, form->begin, (size_t)(mark - form->begin));
        pps_buf_puts(&begin, fields);
        pps_buf_puts(&begin, mark + strlen("%s"));
    }
    send_bytes(peer, begin.data, begin.size);
    pps_buf_clear(&begin);
    while (form->more[0] != '\0' && peer->piece.size < PIECE_BYTES) {
        pps_buf_puts(&peer->piece, form->more);
    }
    peer->begun_us = reactor->now_us;
    peer->taken_us = reactor->now_us;
    pps_reactor_every(reactor, &peer->timer, SEND_INTERVAL_US, on_send_timer,
                      peer);
}

static void
answer(peer_t *peer)
{
    char fields[FIELDS_BYTES];
    char text[2 * FIELDS_BYTES];

    write_fields(fields, sizeof(fields), peer);
    peer->got.size = 0;
    if (peer->worker->form != NULL) {
        begin_flood(peer, fields);
        return;
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", fields);
    send_bytes(peer, text, strlen(text));
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    peer_t *peer = stream->data;
    const size_t end = strlen(FLOOD_BODY_END);

    if (size < 0) {
        close_peer(peer);
        return;
    }
    pps_buf_append(&peer->got, buffer->base, (size_t)size);
    if (peer->got.size > end && memcmp(peer->got.data + peer->got.size - end,
                                       FLOOD_BODY_END, end) == 0) {
        answer(peer);
    }
}

static void
on_connection(uv_stream_t *listener, int status)
{
    flood_worker_t *worker = listener->data;
    peer_t *peer = calloc(1, sizeof(*peer));

    peer->worker = worker;
    uv_tcp_init(&worker->reactor->loop, &peer->tcp);
    peer->tcp.data = peer;
    if (uv_accept(listener, (uv_stream_t *)&peer->tcp) != 0) {
        close_peer(peer);
        return;
    }
    uv_read_start((uv_stream_t *)&peer->tcp, pps_tcp_get_read_buffer, on_read);
}

void
flood_worker_start(flood_worker_t *worker, pps_reactor_t *reactor,
                   const char *id, const flood_form_t *form)
{
    struct sockaddr_in endpoint;
    int size = sizeof(endpoint);

    worker->reactor = reactor;
    worker->form = form;
    snprintf(worker->id, sizeof(worker->id), "%s", id);
    uv_tcp_init(&reactor->loop, &worker->listener);
    worker->listener.data = worker;
    uv_ip4_addr("127.0.0.1", 0, &endpoint);
    uv_tcp_bind(&worker->listener, (struct sockaddr *)&endpoint, 0);
    uv_tcp_getsockname(&worker->listener, (struct sockaddr *)&endpoint, &size);
    snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
             ntohs(endpoint.sin_port));
    uv_listen((uv_stream_t *)&worker->listener, 1024, on_connection);
}
