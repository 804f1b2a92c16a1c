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
/** Maximum queued response bytes of an owner that does not stop. */
#define QUEUED_BYTES_MAX (4U << 20)

#define STATUS_TIMEOUT 408

static void
read_input(pps_http_conn_t *conn, const char *data, size_t size);

static void
on_closed(uv_handle_t *handle)
{
    pps_http_conn_t *conn = handle->data;

    pps_request_reader_clear(&conn->reader);
    pps_buf_clear(&conn->pending);
    pps_buf_clear(&conn->output);
    free(conn);
}

/* Closes a connection whose state is PPS_CONN_CLOSED. */
static void
close_conn(pps_http_conn_t *conn)
{
    conn->exchange = NULL;
    pps_timers_cancel(&conn->timer);
    pps_reactor_cancel_deferred(&conn->report);
    pps_http_conn_flush(conn);
    cds_list_del(&conn->node);
    conn->server->conn_count--;
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void
close_and_report(pps_http_conn_t *conn)
{
    pps_http_server_t *server = conn->server;
    void *exchange = conn->exchange;

    close_conn(conn);
    if (exchange != NULL) {
        server->ops->on_disconnect(server->user, exchange);
    }
}

static void
on_timer(int64_t now_us, void *user);

static void
set_timer(pps_http_conn_t *conn, int64_t delay_us)
{
    conn->unwritten = pps_http_conn_queued_bytes(conn);
    pps_reactor_after(conn->server->reactor, &conn->timer, delay_us, on_timer,
                      conn);
}

/* Sets the time of the state, which is the only owner of the timer. */
static void
start_state_timer(pps_http_conn_t *conn)
{
    const pps_http_limits_t *limits = conn->server->limits;

    switch (conn->state) {
    case PPS_CONN_IDLE:
    case PPS_CONN_FINISHING:
        set_timer(conn, limits->idle_timeout_us);
        break;
    case PPS_CONN_READING:
        set_timer(conn, limits->request_timeout_us);
        break;
    case PPS_CONN_LINGERING:
        set_timer(conn, LINGER_US);
        break;
    default:
        pps_timers_cancel(&conn->timer);
        break;
    }
}

/* Moves to the next state. Returns what is to be done. */
static pps_conn_action_t
advance(pps_http_conn_t *conn, pps_conn_event_t event)
{
    const pps_conn_step_t step = pps_conn_table_step(conn->state, event);

    if (step.next != conn->state) {
        conn->state = step.next;
        start_state_timer(conn);
    }
    return step.action;
}

static void
on_shutdown(uv_shutdown_t *request, int status);

/* Ends the connection behind its output: libuv shuts it down when that is
 * written. */
static void
finish(pps_http_conn_t *conn)
{
    conn->shutdown.data = conn;
    if (pps_http_conn_flush(conn) != 0 ||
        uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown) !=
            0) {
        advance(conn, PPS_CONN_ON_WRITE_FAILED);
        close_conn(conn);
    }
}

/* Without output that waits there is nothing that the caller could lose. */
static void
finish_idle(pps_http_conn_t *conn)
{
    if (pps_http_conn_queued_bytes(conn) > 0) {
        finish(conn);
        return;
    }
    advance(conn, PPS_CONN_ON_ABORT);
    close_conn(conn);
}

static void
respond_error(pps_http_conn_t *conn, unsigned int status)
{
    conn->keep_alive = 0;
    pps_http_conn_respond(conn, status, "", "", 0);
}

/* Handles an event that the owner does not cause. */
static void
handle(pps_http_conn_t *conn, pps_conn_event_t event)
{
    switch (advance(conn, event)) {
    case PPS_CONN_CLOSE:
        close_conn(conn);
        break;
    case PPS_CONN_CLOSE_REPORT:
        close_and_report(conn);
        break;
    case PPS_CONN_FINISH_IDLE:
        finish_idle(conn);
        break;
    case PPS_CONN_REJECT:
        respond_error(conn, conn->reader.error_status);
        break;
    case PPS_CONN_REJECT_LATE:
        respond_error(conn, STATUS_TIMEOUT);
        break;
    default:
        break;
    }
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
    handle(request->data,
           status == 0 ? PPS_CONN_ON_WRITTEN : PPS_CONN_ON_WRITE_FAILED);
}

/* A caller that goes on to read its last answer gets more time. */
static void
on_timer(int64_t now_us, void *user)
{
    pps_http_conn_t *conn = user;

    if (conn->state == PPS_CONN_FINISHING &&
        pps_http_conn_queued_bytes(conn) < conn->unwritten) {
        start_state_timer(conn);
        return;
    }
    handle(conn, PPS_CONN_ON_TIMEOUT);
}

static void
report_drained(pps_http_conn_t *conn)
{
    const pps_http_server_t *server = conn->server;

    if (conn->awaits_drained && conn->exchange != NULL &&
        pps_http_conn_queued_bytes(conn) <= conn->drained_bytes) {
        conn->awaits_drained = 0;
        server->ops->on_drained(server->user, conn->exchange);
    }
}

static void
on_flush(void *user)
{
    if (pps_http_conn_flush(user) != 0) {
        handle(user, PPS_CONN_ON_WRITE_FAILED);
        return;
    }
    report_drained(user);
}

static void
on_report(void *user)
{
    handle(user, PPS_CONN_ON_REPORT_DUE);
}

void
pps_http_conn_on_written(void *user, int error)
{
    pps_http_conn_t *conn = user;

    if (conn->state == PPS_CONN_CLOSED) {
        return;
    }
    if (error != 0) {
        handle(conn, PPS_CONN_ON_WRITE_FAILED);
        return;
    }
    report_drained(conn);
}

void
pps_http_conn_await_drained(pps_http_conn_t *conn, size_t bytes)
{
    conn->awaits_drained = 1;
    conn->drained_bytes = bytes;
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

static void
read_request(pps_http_conn_t *conn, const char *data, size_t size)
{
    size_t used;

    switch (pps_request_reader_feed(&conn->reader, data, size, &used)) {
    case PPS_REQUEST_MORE:
        send_continue_if_expected(conn);
        break;
    case PPS_REQUEST_WHOLE:
        pps_buf_append(&conn->pending, data + used, size - used);
        if (advance(conn, PPS_CONN_ON_REQUEST) == PPS_CONN_DELIVER) {
            deliver_request(conn);
        }
        break;
    case PPS_REQUEST_REJECTED:
        handle(conn, PPS_CONN_ON_REJECTION);
        break;
    }
}

static void
keep_input(pps_http_conn_t *conn, const char *data, size_t size)
{
    pps_buf_append(&conn->pending, data, size);
    if (conn->pending.size > PENDING_BYTES_MAX) {
        handle(conn, PPS_CONN_ON_INPUT_FULL);
    }
}

static void
read_input(pps_http_conn_t *conn, const char *data, size_t size)
{
    switch (advance(conn, PPS_CONN_ON_INPUT)) {
    case PPS_CONN_READ:
        read_request(conn, data, size);
        break;
    case PPS_CONN_KEEP_INPUT:
        keep_input(conn, data, size);
        break;
    default:
        break;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    if (size < 0) {
        handle(stream->data, PPS_CONN_ON_PEER_GONE);
    }
    else if (size > 0) {
        read_input(stream->data, buffer->base, (size_t)size);
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
        pps_http_conn_abort(conn);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    pps_request_reader_init(&conn->reader, server->limits);
    start_state_timer(conn);
    uv_read_start((uv_stream_t *)&conn->tcp, pps_tcp_get_read_buffer, on_read);
}

void
pps_http_conn_stop(pps_http_conn_t *conn)
{
    handle(conn, PPS_CONN_ON_STOP);
}

/* Waits for the next request, which may have come already. */
static void
await_request(pps_http_conn_t *conn)
{
    pps_buf_t pending = conn->pending;

    pps_request_reader_begin(&conn->reader);
    conn->pending = (pps_buf_t)PPS_BUF_INIT;
    if (pending.size > 0) {
        read_input(conn, pending.data, pending.size);
    }
    else if (conn->server->draining) {
        pps_http_conn_stop(conn);
    }
    pps_buf_clear(&pending);
}

/* Ends the answer, whose output is collected or written. */
static void
end_answer(pps_http_conn_t *conn)
{
    conn->exchange = NULL;
    conn->awaits_drained = 0;
    switch (advance(conn, conn->keep_alive ? PPS_CONN_ON_END
                                           : PPS_CONN_ON_LAST_END)) {
    case PPS_CONN_NEXT:
        await_request(conn);
        break;
    case PPS_CONN_FINISH:
        finish(conn);
        break;
    default:
        break;
    }
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
    if (conn->state != PPS_CONN_SERVING) {
        return;
    }
    length = snprintf(head, sizeof(head),
                      "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n%s", status,
                      pps_http_phrase(status), size, connection_header(conn));
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)fields, (unsigned int)strlen(fields));
    pieces[2] = uv_buf_init("\r\n", 2);
    pieces[3] = uv_buf_init((char *)body, (unsigned int)size);
    if (pps_http_conn_flush(conn) != 0 ||
        pps_tcp_write_then(&conn->tcp, pieces, 4, pps_http_conn_on_written,
                           conn) != 0) {
        handle(conn, PPS_CONN_ON_WRITE_FAILED);
        return;
    }
    end_answer(conn);
}

void
pps_http_conn_begin(pps_http_conn_t *conn, unsigned int status,
                    const char *fields)
{
    char head[160];
    uv_buf_t pieces[3];
    int length;

    if (advance(conn, PPS_CONN_ON_HEAD) != PPS_CONN_SEND) {
        return;
    }
    length =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %u %s\r\nTransfer-Encoding: chunked\r\n%s", status,
                 pps_http_phrase(status), connection_header(conn));
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)fields, (unsigned int)strlen(fields));
    pieces[2] = uv_buf_init("\r\n", 2);
    pps_http_conn_collect(conn, pieces, 3, on_flush);
}

static void
break_answer(pps_http_conn_t *conn)
{
    if (advance(conn, PPS_CONN_ON_TOO_SLOW) == PPS_CONN_REPORT_LATER) {
        pps_reactor_defer(conn->server->reactor, &conn->report, on_report,
                          conn);
    }
}

void
pps_http_conn_chunk(pps_http_conn_t *conn, const void *data, size_t size)
{
    char head[24];
    uv_buf_t pieces[3];
    int length;

    if (size == 0 || advance(conn, PPS_CONN_ON_PIECE) != PPS_CONN_SEND) {
        return;
    }
    if (pps_http_conn_queued_bytes(conn) > QUEUED_BYTES_MAX) {
        break_answer(conn);
        return;
    }
    length = snprintf(head, sizeof(head), "%zx\r\n", size);
    pieces[0] = uv_buf_init(head, (unsigned int)length);
    pieces[1] = uv_buf_init((char *)data, (unsigned int)size);
    pieces[2] = uv_buf_init("\r\n", 2);
    pps_http_conn_collect(conn, pieces, 3, on_flush);
}

void
pps_http_conn_end(pps_http_conn_t *conn)
{
    uv_buf_t piece = uv_buf_init("0\r\n\r\n", 5);

    if (conn->state == PPS_CONN_ANSWERING) {
        pps_http_conn_collect(conn, &piece, 1, on_flush);
    }
    end_answer(conn);
}

void
pps_http_conn_abort(pps_http_conn_t *conn)
{
    handle(conn, PPS_CONN_ON_ABORT);
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
