/** @file http_conn.c @brief Serves one caller's connection. */
#include "http_server_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "tcp_write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Maximum pipelined input; a caller that sends more is disconnected. */
#define PENDING_BYTES_MAX 65536
/** How long input is read and discarded after the last response. Closing with
 * unread input resets the connection, and the caller may lose the response. */
#define LINGER_US (500 * PPS_US_PER_MS)
/** Maximum queued response bytes; a slower caller is disconnected. */
#define QUEUED_BYTES_MAX (1U << 20)

#define STATUS_TIMEOUT 408

static void
parse_input(pps_http_conn_t *conn, const char *data, size_t size);

static void
on_closed(uv_handle_t *handle)
{
    pps_http_conn_t *conn = handle->data;

    pps_request_reader_clear(&conn->reader);
    pps_buf_clear(&conn->pending);
    pps_buf_clear(&conn->output);
    free(conn);
}

void
pps_http_conn_close(pps_http_conn_t *conn)
{
    if (conn->state == CONN_CLOSED) {
        return;
    }
    conn->state = CONN_CLOSED;
    conn->exchange = NULL;
    pps_timers_cancel(&conn->timer);
    pps_http_conn_flush(conn);
    cds_list_del(&conn->node);
    conn->server->conn_count--;
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

/* Closes the connection and reports it if an exchange is attached. */
static void
disconnect(pps_http_conn_t *conn)
{
    void *exchange = conn->state == CONN_SERVING ? conn->exchange : NULL;
    pps_http_server_t *server = conn->server;

    pps_http_conn_close(conn);
    if (exchange != NULL) {
        server->ops->on_disconnect(server->user, exchange);
    }
}

static void
on_flush(void *user)
{
    pps_http_conn_t *conn = user;

    if (pps_http_conn_flush(conn) != 0) {
        disconnect(conn);
    }
}

static void
on_linger_timer(int64_t now_us, void *user)
{
    pps_http_conn_close(user);
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
}

static void
start_lingering(pps_http_conn_t *conn)
{
    conn->state = CONN_LINGERING;
    pps_http_conn_flush(conn);
    uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown);
    pps_reactor_after(conn->server->reactor, &conn->timer, LINGER_US,
                      on_linger_timer, conn);
}

static void
respond_error(pps_http_conn_t *conn, unsigned int status)
{
    conn->state = CONN_SERVING;
    conn->keep_alive = 0;
    pps_http_conn_respond(conn, status, "", "", 0);
}

static void
on_read_timer(int64_t now_us, void *user)
{
    pps_http_conn_t *conn = user;

    if (conn->request_started) {
        respond_error(conn, STATUS_TIMEOUT);
        return;
    }
    pps_http_conn_close(conn);
}

static void
await_request(pps_http_conn_t *conn)
{
    const pps_http_limits_t *limits = conn->server->limits;

    conn->state = CONN_READING;
    conn->request_started = 0;
    conn->exchange = NULL;
    pps_request_reader_begin(&conn->reader);
    pps_reactor_after(conn->server->reactor, &conn->timer,
                      limits->idle_timeout_us, on_read_timer, conn);
}

static void
deliver_request(pps_http_conn_t *conn)
{
    pps_http_server_t *server = conn->server;

    pps_timers_cancel(&conn->timer);
    conn->state = CONN_SERVING;
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

static void
parse_input(pps_http_conn_t *conn, const char *data, size_t size)
{
    size_t used;

    if (!conn->request_started) {
        conn->request_started = 1;
        pps_reactor_after(conn->server->reactor, &conn->timer,
                          conn->server->limits->request_timeout_us,
                          on_read_timer, conn);
    }
    switch (pps_request_reader_feed(&conn->reader, data, size, &used)) {
    case PPS_REQUEST_MORE:
        send_continue_if_expected(conn);
        break;
    case PPS_REQUEST_WHOLE:
        pps_buf_append(&conn->pending, data + used, size - used);
        deliver_request(conn);
        break;
    case PPS_REQUEST_REJECTED:
        respond_error(conn, conn->reader.error_status);
        break;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    pps_http_conn_t *conn = stream->data;

    if (size < 0) {
        disconnect(conn);
        return;
    }
    if (conn->state == CONN_READING && size > 0) {
        parse_input(conn, buffer->base, (size_t)size);
        return;
    }
    if (conn->state == CONN_SERVING) {
        pps_buf_append(&conn->pending, buffer->base, (size_t)size);
        if (conn->pending.size > PENDING_BYTES_MAX) {
            disconnect(conn);
        }
    }
}

void
pps_http_conn_accept(pps_http_server_t *server)
{
    pps_http_conn_t *conn = calloc(1, sizeof(*conn));

    if (conn == NULL) {
        return;
    }
    conn->server = server;
    uv_tcp_init(&server->reactor->loop, &conn->tcp);
    conn->tcp.data = conn;
    cds_list_add_tail(&conn->node, &server->conns);
    server->conn_count++;
    if (uv_accept((uv_stream_t *)&server->listener,
                  (uv_stream_t *)&conn->tcp) != 0) {
        pps_http_conn_close(conn);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    pps_request_reader_init(&conn->reader, server->limits);
    await_request(conn);
    uv_read_start((uv_stream_t *)&conn->tcp, pps_tcp_get_read_buffer, on_read);
}

/* Waits for the next request, parses pending input or closes. */
static void
finish_response(pps_http_conn_t *conn)
{
    pps_buf_t pending;

    conn->exchange = NULL;
    if (!conn->keep_alive) {
        start_lingering(conn);
        return;
    }
    await_request(conn);
    if (conn->pending.size > 0) {
        pending = conn->pending;
        conn->pending = (pps_buf_t)PPS_BUF_INIT;
        parse_input(conn, pending.data, pending.size);
        pps_buf_clear(&pending);
        return;
    }
    if (conn->server->draining) {
        pps_http_conn_close(conn);
    }
}

static void
on_disconnect_timer(int64_t now_us, void *user)
{
    disconnect(user);
}

/* Disconnects from a timer: `on_disconnect` must not run in an owner's call.
 */
static void
disconnect_later(pps_http_conn_t *conn)
{
    uv_read_stop((uv_stream_t *)&conn->tcp);
    pps_reactor_after(conn->server->reactor, &conn->timer, 0,
                      on_disconnect_timer, conn);
}

static const char *
connection_header(pps_http_conn_t *conn)
{
    if (conn->server->draining) {
        conn->keep_alive = 0;
    }
    return conn->keep_alive ? "" : "Connection: close\r\n";
}

void
pps_http_conn_attach(pps_http_conn_t *conn, void *exchange)
{
    conn->exchange = exchange;
}

void
pps_http_conn_respond(pps_http_conn_t *conn, unsigned int status,
                      const char *fields, const void *body, size_t size)
{
    char head[160];
    uv_buf_t pieces[4];
    int length;

    conn->exchange = NULL;
    length = snprintf(head, sizeof(head),
                      "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n%s", status,
                      pps_http_phrase(status), size, connection_header(conn));
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)fields, (unsigned int)strlen(fields));
    pieces[2] = uv_buf_init("\r\n", 2);
    pieces[3] = uv_buf_init((char *)body, (unsigned int)size);
    if (pps_http_conn_flush(conn) != 0 ||
        pps_tcp_write(&conn->tcp, pieces, 4) != 0) {
        pps_http_conn_close(conn);
        return;
    }
    finish_response(conn);
}

void
pps_http_conn_begin(pps_http_conn_t *conn, unsigned int status,
                    const char *fields)
{
    char head[160];
    uv_buf_t pieces[3];
    int length;

    length =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %u %s\r\nTransfer-Encoding: chunked\r\n%s", status,
                 pps_http_phrase(status), connection_header(conn));
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)fields, (unsigned int)strlen(fields));
    pieces[2] = uv_buf_init("\r\n", 2);
    pps_http_conn_collect(conn, pieces, 3, on_flush);
}

void
pps_http_conn_chunk(pps_http_conn_t *conn, const void *data, size_t size)
{
    char head[24];
    uv_buf_t pieces[3];
    int length;

    if (size == 0) {
        return;
    }
    length = snprintf(head, sizeof(head), "%zx\r\n", size);
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)data, (unsigned int)size);
    pieces[2] = uv_buf_init("\r\n", 2);
    if (pps_http_conn_queued_bytes(conn) > QUEUED_BYTES_MAX) {
        disconnect_later(conn);
        return;
    }
    pps_http_conn_collect(conn, pieces, 3, on_flush);
}

void
pps_http_conn_end(pps_http_conn_t *conn)
{
    uv_buf_t piece = uv_buf_init("0\r\n\r\n", 5);

    conn->exchange = NULL;
    pps_http_conn_collect(conn, &piece, 1, on_flush);
    finish_response(conn);
}

void
pps_http_conn_abort(pps_http_conn_t *conn)
{
    pps_http_conn_close(conn);
}

size_t
pps_http_conn_queued_bytes(const pps_http_conn_t *conn)
{
    return conn->tcp.write_queue_size + conn->output.size;
}

void
pps_http_conn_peer_address(char *out, size_t size, const pps_http_conn_t *conn)
{
    struct sockaddr_in endpoint = {0};
    int length = sizeof(endpoint);

    out[0] = '\0';
    if (uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&endpoint,
                           &length) == 0) {
        uv_ip4_name(&endpoint, out, size);
    }
}
