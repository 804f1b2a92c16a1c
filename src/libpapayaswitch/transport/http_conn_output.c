/** @file http_conn_output.c @brief Writes responses: whole, or in pieces that
 * are collected. */
#include "http_server_state.h"

#include "papayaswitch/errors.h"
#include "tcp_write.h"

#include <stdio.h>
#include <string.h>

/** Maximum queued response bytes of an owner that does not stop. */
#define QUEUED_BYTES_MAX (4U << 20)

int
pps_http_conn_flush(pps_http_conn_t *conn)
{
    uv_buf_t piece =
        uv_buf_init(conn->output.data, (unsigned int)conn->output.size);
    int error = PPS_OK;

    pps_reactor_cancel_deferred(&conn->flush);
    if (conn->output.failed) {
        error = PPS_ENOMEM;
    }
    else if (conn->output.size > 0) {
        error = pps_tcp_write_then(&conn->tcp, &piece, 1,
                                   pps_http_conn_on_written, conn);
    }
    pps_buf_clear(&conn->output);
    return error;
}

void
pps_http_conn_collect(pps_http_conn_t *conn, const uv_buf_t *pieces,
                      unsigned int count, void (*on_flush)(void *user))
{
    for (unsigned int i = 0; i < count; i++) {
        pps_buf_append(&conn->output, pieces[i].base, pieces[i].len);
    }
    pps_reactor_defer(conn->server->reactor, &conn->flush, on_flush, conn);
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
        pps_http_conn_handle(user, PPS_CONN_ON_WRITE_FAILED);
        return;
    }
    report_drained(user);
}

static void
on_report(void *user)
{
    pps_http_conn_handle(user, PPS_CONN_ON_REPORT_DUE);
}

void
pps_http_conn_on_written(void *user, int error)
{
    pps_http_conn_t *conn = user;

    if (conn->state == PPS_CONN_CLOSED) {
        return;
    }
    if (error != 0) {
        pps_http_conn_handle(conn, PPS_CONN_ON_WRITE_FAILED);
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

/* Ends the answer, whose output is collected or written. */
static void
end_answer(pps_http_conn_t *conn)
{
    conn->exchange = NULL;
    conn->awaits_drained = 0;
    switch (pps_http_conn_advance(
        conn, conn->keep_alive ? PPS_CONN_ON_END : PPS_CONN_ON_LAST_END)) {
    case PPS_CONN_NEXT:
        pps_http_conn_await_request(conn);
        break;
    case PPS_CONN_DISCARD_REST:
        pps_http_conn_discard_body(conn);
        pps_http_conn_read(conn);
        break;
    case PPS_CONN_FINISH:
        pps_http_conn_finish(conn);
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
    if (conn->state != PPS_CONN_SERVING && conn->state != PPS_CONN_READING) {
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
        pps_http_conn_handle(conn, PPS_CONN_ON_WRITE_FAILED);
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

    if (pps_http_conn_advance(conn, PPS_CONN_ON_HEAD) != PPS_CONN_SEND) {
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
    if (pps_http_conn_advance(conn, PPS_CONN_ON_TOO_SLOW) ==
        PPS_CONN_REPORT_LATER) {
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

    if (size == 0 ||
        pps_http_conn_advance(conn, PPS_CONN_ON_PIECE) != PPS_CONN_SEND) {
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
