/** @file http_conn_input.c @brief Reads a caller's requests, one at a time. */
#include "http_server_state.h"

#include "tcp_write.h"

static void
read_input(pps_http_conn_t *conn, const char *data, size_t size);

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    if (size < 0) {
        pps_http_conn_handle(stream->data, PPS_CONN_ON_PEER_GONE);
    }
    else if (size > 0) {
        read_input(stream->data, buffer->base, (size_t)size);
    }
}

void
pps_http_conn_read(pps_http_conn_t *conn)
{
    uv_read_start((uv_stream_t *)&conn->tcp, pps_tcp_get_read_buffer, on_read);
}

/** Most bytes of a refused request that are awaited and discarded, so that its
 * connection can be kept. */
#define REST_BYTES_MAX (64U << 10)

void
pps_http_conn_release(pps_http_conn_t *conn)
{
    void *holding = conn->holding;

    conn->holding = NULL;
    if (holding != NULL) {
        conn->server->ops->on_released(conn->server->user, holding);
    }
}

void
pps_http_conn_discard_body(pps_http_conn_t *conn)
{
    pps_request_reader_discard_body(&conn->reader);
    pps_http_conn_release(conn);
}

void
pps_http_conn_hold(pps_http_conn_t *conn, void *holding)
{
    conn->holding = holding;
}

int
pps_http_conn_is_reading(const pps_http_conn_t *conn)
{
    return conn->state == PPS_CONN_READING;
}

uint64_t
pps_http_conn_body_bytes(const pps_http_conn_t *conn)
{
    uint64_t left = pps_request_reader_body_left(&conn->reader);

    return left == UINT64_MAX ? left : left + conn->reader.request.body.size;
}

void
pps_http_conn_pause_reading(pps_http_conn_t *conn)
{
    uv_read_stop((uv_stream_t *)&conn->tcp);
}

void
pps_http_conn_resume_reading(pps_http_conn_t *conn)
{
    pps_http_conn_read(conn);
}

static void
deliver_request(pps_http_conn_t *conn)
{
    pps_http_server_t *server = conn->server;

    conn->keep_alive = conn->reader.keep_alive && !server->draining;
    conn->reader.request.received_us = server->reactor->now_us;
    server->ops->on_request(server->user, conn, &conn->reader.request);
}

/* A caller that has sent its whole request already waits for no interim
 * answer. */
static void
send_continue_if_expected(pps_http_conn_t *conn)
{
    static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
    uv_buf_t piece = uv_buf_init(text, sizeof(text) - 1);

    if (conn->reader.expects_continue) {
        conn->reader.expects_continue = 0;
        pps_tcp_write(&conn->tcp, &piece, 1);
    }
}

/* Keeps bytes until the answer before them has ended. Returns 0, or an error
 * after which the connection is closed. */
static int
keep_input(pps_http_conn_t *conn, const char *data, size_t size)
{
    int error = pps_input_queue_add(&conn->input, data, size);

    if (error != 0) {
        pps_http_conn_handle(conn, PPS_CONN_ON_INPUT_LOST);
    }
    else if (pps_input_queue_is_full(&conn->input)) {
        uv_read_stop((uv_stream_t *)&conn->tcp);
    }
    return error;
}

static void
end_request(pps_http_conn_t *conn)
{
    switch (pps_http_conn_advance(conn, PPS_CONN_ON_REQUEST)) {
    case PPS_CONN_DELIVER:
        deliver_request(conn);
        break;
    case PPS_CONN_AWAIT:
        pps_http_conn_await_request(conn);
        break;
    default:
        break;
    }
}

/* Reads bytes of a request. Returns how many belong to it. */
static size_t
read_request(pps_http_conn_t *conn, const char *data, size_t size,
             pps_request_state_t *state)
{
    size_t used;

    *state = pps_request_reader_feed(&conn->reader, data, size, &used);
    return used;
}

/* Returns whether the connection can be kept if the request is refused. A
 * caller that waits for an interim answer may not send the body at all. */
static int
can_discard_rest(const pps_http_conn_t *conn)
{
    return conn->reader.keep_alive && !conn->reader.expects_continue &&
           pps_request_reader_body_left(&conn->reader) <= REST_BYTES_MAX;
}

static void
show_head(pps_http_conn_t *conn)
{
    pps_http_server_t *server = conn->server;

    conn->has_seen_head = 1;
    if (server->ops->on_head != NULL) {
        conn->keep_alive = can_discard_rest(conn);
        conn->reader.request.received_us = server->reactor->now_us;
        server->ops->on_head(server->user, conn, &conn->reader.request);
    }
}

static void
await_body(pps_http_conn_t *conn)
{
    if (!conn->has_seen_head && pps_request_reader_has_head(&conn->reader)) {
        show_head(conn);
    }
    if (conn->state == PPS_CONN_READING) {
        send_continue_if_expected(conn);
    }
}

static void
act_on(pps_http_conn_t *conn, pps_request_state_t state)
{
    switch (state) {
    case PPS_REQUEST_MORE:
        await_body(conn);
        break;
    case PPS_REQUEST_WHOLE:
        end_request(conn);
        break;
    case PPS_REQUEST_REJECTED:
        pps_http_conn_handle(conn, PPS_CONN_ON_REJECTION);
        break;
    }
}

static void
read_input(pps_http_conn_t *conn, const char *data, size_t size)
{
    pps_request_state_t state;
    size_t used;

    if (pps_input_queue_size(&conn->input) > 0) {
        keep_input(conn, data, size);
        return;
    }
    switch (pps_http_conn_advance(conn, PPS_CONN_ON_INPUT)) {
    case PPS_CONN_READ:
        used = read_request(conn, data, size, &state);
        if (state != PPS_REQUEST_WHOLE || used == size ||
            keep_input(conn, data + used, size - used) == 0) {
            act_on(conn, state);
        }
        break;
    case PPS_CONN_KEEP_INPUT:
        keep_input(conn, data, size);
        break;
    case PPS_CONN_LINGER_ON:
        pps_http_conn_linger_on(conn, size);
        break;
    default:
        break;
    }
}

/* Reads the next request from the bytes that wait. */
static void
on_next_request(void *user)
{
    pps_http_conn_t *conn = user;
    pps_request_state_t state;
    size_t used;

    if (pps_http_conn_advance(conn, PPS_CONN_ON_INPUT) != PPS_CONN_READ) {
        return;
    }
    used = read_request(conn, pps_input_queue_data(&conn->input),
                        pps_input_queue_size(&conn->input), &state);
    pps_input_queue_use(&conn->input, used);
    if (pps_input_queue_size(&conn->input) == 0) {
        pps_http_conn_read(conn);
    }
    act_on(conn, state);
}

void
pps_http_conn_await_request(pps_http_conn_t *conn)
{
    pps_request_reader_begin(&conn->reader);
    pps_http_conn_release(conn);
    conn->has_seen_head = 0;
    if (pps_input_queue_size(&conn->input) > 0) {
        pps_reactor_defer(conn->server->reactor, &conn->next_request,
                          on_next_request, conn);
    }
    else if (conn->server->draining) {
        pps_http_conn_stop(conn);
    }
}
