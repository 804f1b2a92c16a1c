/** @file relay_server.c @brief Passes bytes between hosts and workers. */
#include "relay_server.h"

#include "clock.h"
#include "memory/window.h"
#include "papayaswitch/errors.h"
#include "relay_target.h"
#include "transport/address.h"
#include "transport/reply_reader.h"
#include "transport/tcp_write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_MAX 512
#define WORKER_CONNECT_US (150 * PPS_US_PER_MS)
/** Longest wait for an acknowledgement of bytes sent to a worker. */
#define WORKER_USER_TIMEOUT_MS 2500
#define HEADER_BYTES_MAX 4096
#define REQUEST_BYTES_DEFAULT (1U << 20)
#define REQUEST_TIMEOUT_US (2 * PPS_US_PER_S)
#define IDLE_TIMEOUT_US (5 * PPS_US_PER_S)
/** Time until it is checked again whether an answer is read on. */
#define RESUME_US (5 * PPS_US_PER_MS)

struct pps_relay_server {
    pps_reactor_t *reactor;
    pps_http_server_t *listener;
    pps_http_limits_t limits;
    char local_address[PPS_RELAY_ADDRESS_BYTES]; /* "": any */
    const pps_relay_ops_t *ops;
    void *user;
    size_t call_count;
    size_t queued_max; /* bytes of all answers that may wait */
    int is_draining;
};

typedef struct {
    pps_relay_server_t *server;
    pps_http_conn_t *conn; /* NULL: the other host's connection has ended */
    const pps_http_request_t *request;
    uint64_t worker;
    void *hold; /* see pps_relay_ops_t */
    int64_t started_us;
    uv_tcp_t tcp;
    uv_connect_t connect;
    pps_timer_t timer;         /* of connecting, then of a pause in reading */
    pps_reply_reader_t reader; /* finds the head and the end of the answer */
    int is_sent;               /* the request may have reached the worker */
    int write_error;           /* of the worker's connection; 0: none */
    int is_answered;           /* the answer is whole, or can't be read */
    int is_success;            /* the answer's status says so */
    int is_closing;
} call_t;

static void
on_closed(uv_handle_t *handle)
{
    call_t *call = handle->data;

    pps_reply_reader_clear(&call->reader);
    free(call);
}

static void
end_hold(const pps_relay_server_t *server, void *hold, int is_served)
{
    if (hold != NULL) {
        server->ops->on_end(server->user, hold, is_served);
    }
}

static void
close_call(call_t *call)
{
    if (call->is_closing) {
        return;
    }
    call->is_closing = 1;
    call->conn = NULL;
    call->server->call_count--;
    end_hold(call->server, call->hold, 0);
    pps_timers_cancel(&call->timer);
    uv_close((uv_handle_t *)&call->tcp, on_closed);
}

static void
refuse(call_t *call, pps_relay_status_t status)
{
    pps_http_conn_t *conn = call->conn;

    close_call(call);
    pps_http_conn_respond(conn, status, "", "", 0);
}

static int
on_reply_head(void *user, const pps_http_reply_t *reply)
{
    call_t *call = user;

    call->is_success = pps_http_status_is_success(reply->status);
    call->server->ops->on_reply(call->server->user, call->worker,
                                call->started_us, reply);
    return 0;
}

static void
on_reply_body(void *user, const char *data, size_t size)
{
}

static const pps_channel_ops_t reply_ops = {.on_head = on_reply_head,
                                            .on_body = on_reply_body};

/* Follows the answer. What the call holds ends with it, whatever comes then.
 */
static void
read_answer(call_t *call, const char *data, size_t size)
{
    size_t used;
    pps_reply_state_t state;

    if (call->is_answered) {
        return;
    }
    state = pps_reply_reader_feed(&call->reader, data, size, &used);
    call->is_answered = state != PPS_REPLY_MORE;
    if (state == PPS_REPLY_WHOLE) {
        end_hold(call->server, call->hold, call->is_success);
        call->hold = NULL;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);

static void
get_read_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *out)
{
    pps_tcp_get_read_buffer(handle, wanted, out);
    out->len = PPS_WINDOW_READ_BYTES;
}

/* Returns whether so much of an answer waits for the other host that no more
 * is read from the worker. */
static int
is_held_back(const call_t *call)
{
    return pps_http_conn_queued_bytes(call->conn) >
           pps_window_bytes(call->server->queued_max,
                            call->server->call_count);
}

static void
on_resume(int64_t now_us, void *user)
{
    call_t *call = user;

    if (is_held_back(call)) {
        pps_reactor_after(call->server->reactor, &call->timer, RESUME_US,
                          on_resume, call);
        return;
    }
    uv_read_start((uv_stream_t *)&call->tcp, get_read_buffer, on_read);
}

static void
end_answer(call_t *call, int is_in_order)
{
    pps_http_conn_t *conn = call->conn;

    close_call(call);
    if (is_in_order) {
        pps_http_conn_end(conn);
    }
    else {
        pps_http_conn_abort(conn);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
    call_t *call = stream->data;

    if (size == 0 || call->is_closing) {
        return;
    }
    if (size < 0) {
        end_answer(
            call, pps_tcp_ended_in_order(&call->tcp, size, call->write_error));
        return;
    }
    read_answer(call, buffer->base, (size_t)size);
    pps_http_conn_chunk(call->conn, buffer->base, (size_t)size);
    if (is_held_back(call)) {
        uv_read_stop(stream);
        pps_reactor_after(call->server->reactor, &call->timer, RESUME_US,
                          on_resume, call);
    }
}

/* The answer may be complete all the same, so it is passed on to its end. */
static void
on_written(void *user, int error)
{
    call_t *call = user;

    if (error != 0) {
        call->write_error = error;
    }
}

static void
pass_on(call_t *call)
{
    const pps_buf_t *body = &call->request->body;
    uv_buf_t piece = uv_buf_init(body->data, (unsigned int)body->size);

    uv_tcp_nodelay(&call->tcp, 1);
    pps_tcp_set_user_timeout(&call->tcp, WORKER_USER_TIMEOUT_MS);
    pps_http_conn_begin(call->conn, PPS_RELAY_CONNECTED, "");
    call->is_sent = 1;
    if (pps_tcp_write_then(&call->tcp, &piece, 1, on_written, call) != 0) {
        end_answer(call, 0);
        return;
    }
    uv_read_start((uv_stream_t *)&call->tcp, get_read_buffer, on_read);
}

static void
on_tried(call_t *call, int is_reached)
{
    call->server->ops->on_tried(call->server->user, call->worker,
                                call->started_us, is_reached);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    call_t *call = connect->data;

    if (call->is_closing) {
        return;
    }
    pps_timers_cancel(&call->timer);
    on_tried(call, status == 0);
    if (status != 0) {
        refuse(call, status == UV_ECONNREFUSED || status == UV_ECONNRESET
                         ? PPS_RELAY_REFUSED
                         : PPS_RELAY_UNANSWERED);
        return;
    }
    if (call->request->body.size == 0) {
        refuse(call, PPS_RELAY_CONNECTED);
        return;
    }
    pass_on(call);
}

static void
on_connect_timer(int64_t now_us, void *user)
{
    call_t *call = user;

    on_tried(call, 0);
    refuse(call, PPS_RELAY_UNANSWERED);
}

/* Starts a call whose worker, hold and connection are set. */
static void
start_call(const call_t *prepared, const struct sockaddr_in *address)
{
    pps_relay_server_t *server = prepared->server;
    call_t *call = malloc(sizeof(*call));

    if (call == NULL) {
        end_hold(server, prepared->hold, 0);
        pps_http_conn_respond(prepared->conn, PPS_RELAY_BUSY, "", "", 0);
        return;
    }
    *call = *prepared;
    call->started_us = server->reactor->now_us;
    pps_reply_reader_init(&call->reader);
    pps_reply_reader_begin(&call->reader, &reply_ops, call);
    pps_tcp_init_from(&call->tcp, &server->reactor->loop,
                      server->local_address);
    call->tcp.data = call;
    call->connect.data = call;
    server->call_count++;
    pps_http_conn_attach(call->conn, call);
    if (uv_tcp_connect(&call->connect, &call->tcp,
                       (const struct sockaddr *)address, on_connected) != 0) {
        refuse(call, PPS_RELAY_UNANSWERED);
        return;
    }
    pps_reactor_after(server->reactor, &call->timer, WORKER_CONNECT_US,
                      on_connect_timer, call);
}

/* Fills in the call and the worker's address. Returns PPS_RELAY_CONNECTED, or
 * the status to refuse it with. */
static pps_relay_status_t
prepare_call(call_t *call, struct sockaddr_in *endpoint)
{
    pps_relay_server_t *server = call->server;
    char address[PPS_RELAY_ADDRESS_BYTES];
    char peer[PPS_RELAY_ADDRESS_BYTES];
    pps_relay_status_t status;
    pps_relay_target_t target;

    if (server->is_draining || server->call_count >= CALLS_MAX) {
        return PPS_RELAY_BUSY;
    }
    if (pps_relay_target_parse(&target,
                               pps_buf_text(&call->request->target)) != 0) {
        return PPS_RELAY_UNKNOWN;
    }
    call->worker = target.worker;
    pps_http_conn_peer_address(peer, sizeof(peer), call->conn);
    status = server->ops->find(server->user, address, &call->hold, peer,
                               target.worker, target.slots);
    if (status == PPS_RELAY_CONNECTED &&
        pps_address_parse(endpoint, address) != 0) {
        end_hold(server, call->hold, 0);
        status = PPS_RELAY_UNKNOWN;
    }
    return status;
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    call_t call = {.server = user, .conn = conn, .request = request};
    struct sockaddr_in endpoint;
    pps_relay_status_t status = prepare_call(&call, &endpoint);

    if (status != PPS_RELAY_CONNECTED) {
        pps_http_conn_respond(conn, status, "", "", 0);
        return;
    }
    start_call(&call, &endpoint);
}

/* Leaves what the call holds to its owner: the worker may go on. */
static void
on_disconnect(void *user, void *exchange)
{
    call_t *call = exchange;
    void *hold = call->hold;

    if (hold != NULL && call->is_sent && !call->is_closing) {
        call->hold = NULL;
        call->server->ops->on_left(call->server->user, hold, call->started_us);
    }
    close_call(call);
}

static const pps_http_server_ops_t server_ops = {on_request, on_disconnect};

int
pps_relay_server_new(pps_relay_server_t **out, pps_reactor_t *reactor,
                     const char *address, unsigned int port,
                     const char *local_address, const pps_relay_ops_t *ops,
                     void *user)
{
    pps_relay_server_t *server = calloc(1, sizeof(*server));
    int error;

    if (server == NULL) {
        return PPS_ENOMEM;
    }
    server->reactor = reactor;
    server->ops = ops;
    server->user = user;
    server->queued_max = PPS_RELAY_QUEUED_DEFAULT;
    server->limits =
        (pps_http_limits_t){HEADER_BYTES_MAX, REQUEST_BYTES_DEFAULT,
                            REQUEST_TIMEOUT_US, IDLE_TIMEOUT_US};
    snprintf(server->local_address, sizeof(server->local_address), "%s",
             local_address != NULL ? local_address : "");
    error = pps_http_server_new(&server->listener, reactor, address, port,
                                &server->limits, &server_ops, server);
    if (error != 0) {
        free(server);
        return error;
    }
    *out = server;
    return PPS_OK;
}

void
pps_relay_server_set_request_max(pps_relay_server_t *server, size_t size)
{
    server->limits.body_bytes = size;
}

void
pps_relay_server_set_queued_max(pps_relay_server_t *server, size_t size)
{
    server->queued_max = size;
}

void
pps_relay_server_drain(pps_relay_server_t *server)
{
    server->is_draining = 1;
}

size_t
pps_relay_server_calls(const pps_relay_server_t *server)
{
    return server->call_count;
}

size_t
pps_relay_server_queued(const pps_relay_server_t *server)
{
    return pps_http_server_queued_bytes(server->listener);
}

unsigned int
pps_relay_server_port(const pps_relay_server_t *server)
{
    return pps_http_server_port(server->listener);
}
