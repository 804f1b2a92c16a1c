/** @file http_conn.c @brief Serves one caller's connection. */
#include "http_server_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "tcp_write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** How long a caller that sends nothing may take to close after the last
 * response. */
#define LINGER_US (500 * PPS_US_PER_MS)

#define STATUS_TIMEOUT 408

static void
on_closed(uv_handle_t *handle)
{
    pps_http_conn_t *conn = handle->data;

    pps_request_reader_clear(&conn->reader);
    pps_input_queue_clear(&conn->input);
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
    pps_reactor_cancel_deferred(&conn->next_request);
    pps_http_conn_flush(conn);
    cds_list_del(&conn->node);
    conn->server->conn_count--;
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
    pps_http_conn_discard_body(conn);
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
        conn->linger_until_us =
            conn->server->reactor->now_us + limits->request_timeout_us;
        set_timer(conn, LINGER_US);
        break;
    default:
        pps_timers_cancel(&conn->timer);
        break;
    }
}

pps_conn_action_t
pps_http_conn_advance(pps_http_conn_t *conn, pps_conn_event_t event)
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

void
pps_http_conn_finish(pps_http_conn_t *conn)
{
    conn->shutdown.data = conn;
    pps_input_queue_clear(&conn->input);
    pps_http_conn_discard_body(conn);
    pps_http_conn_read(conn);
    if (pps_http_conn_flush(conn) != 0 ||
        uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp, on_shutdown) !=
            0) {
        pps_http_conn_advance(conn, PPS_CONN_ON_WRITE_FAILED);
        close_conn(conn);
    }
}

void
pps_http_conn_linger_on(pps_http_conn_t *conn, size_t size)
{
    int64_t left_us = conn->linger_until_us - conn->server->reactor->now_us;

    conn->discarded_bytes += size;
    if (conn->discarded_bytes <= conn->server->limits->body_bytes &&
        left_us > 0) {
        set_timer(conn, left_us < LINGER_US ? left_us : LINGER_US);
    }
}

void
pps_http_conn_limit_reading(pps_http_conn_t *conn, int64_t limit_us)
{
    int64_t left_us = conn->timer.due_us - conn->server->reactor->now_us;

    if (conn->state == PPS_CONN_READING && limit_us < left_us) {
        set_timer(conn, limit_us);
    }
}

/* Without output that waits there is nothing that the caller could lose. */
static void
finish_idle(pps_http_conn_t *conn)
{
    if (pps_http_conn_queued_bytes(conn) > 0) {
        pps_http_conn_finish(conn);
        return;
    }
    pps_http_conn_advance(conn, PPS_CONN_ON_ABORT);
    close_conn(conn);
}

static void
respond_error(pps_http_conn_t *conn, unsigned int status)
{
    conn->keep_alive = 0;
    pps_http_conn_respond(conn, status, "", "", 0);
}

void
pps_http_conn_handle(pps_http_conn_t *conn, pps_conn_event_t event)
{
    switch (pps_http_conn_advance(conn, event)) {
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
    pps_http_conn_handle(request->data, status == 0
                                            ? PPS_CONN_ON_WRITTEN
                                            : PPS_CONN_ON_WRITE_FAILED);
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
    pps_http_conn_handle(conn, PPS_CONN_ON_TIMEOUT);
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
    pps_http_conn_read(conn);
}

void
pps_http_conn_stop(pps_http_conn_t *conn)
{
    /* Requests that have come already are served. */
    if (pps_input_queue_size(&conn->input) == 0) {
        pps_http_conn_handle(conn, PPS_CONN_ON_STOP);
    }
}

void
pps_http_conn_abort(pps_http_conn_t *conn)
{
    pps_http_conn_handle(conn, PPS_CONN_ON_ABORT);
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
