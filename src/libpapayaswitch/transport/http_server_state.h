/** @file http_server_state.h @brief Private state of the HTTP server. */
#ifndef PPS_TRANSPORT_HTTP_SERVER_STATE_H
#define PPS_TRANSPORT_HTTP_SERVER_STATE_H

#include "conn_table.h"
#include "http_server.h"
#include "input_queue.h"
#include "request_reader.h"

#include <urcu/list.h>

struct pps_http_server {
    pps_reactor_t *reactor;
    uv_tcp_t listener;
    int listening;
    int draining;
    const pps_http_limits_t *limits;
    const pps_http_server_ops_t *ops;
    void *user;
    struct cds_list_head conns;
    size_t conn_count;
};

struct pps_http_conn {
    struct cds_list_head node;
    pps_http_server_t *server;
    uv_tcp_t tcp;
    uv_shutdown_t shutdown;
    pps_request_reader_t reader;
    pps_conn_state_t state;
    int keep_alive;          /* keep the connection open after this response */
    int has_seen_head;       /* the owner has seen the head of the request */
    size_t discarded_bytes;  /* behind the last response */
    int64_t linger_until_us; /* at the latest */
    pps_input_queue_t input; /* read while a request is being served */
    pps_deferred_t next_request; /* is read from that input */
    pps_buf_t output;            /* of the response, not yet written */
    pps_deferred_t flush;
    pps_deferred_t report; /* of a broken answer */
    pps_timer_t timer;     /* of the state */
    size_t unwritten;      /* when that timer was set */
    int awaits_drained;
    size_t drained_bytes; /* at which the owner is told */
    void *exchange;       /* set by pps_http_conn_attach(), or NULL */
    void *holding;        /* set by pps_http_conn_hold(), or NULL */
};

/** Accepts a pending connection and starts reading. */
void
pps_http_conn_accept(pps_http_server_t *server);

/** Closes a connection that is idle once its output is written. */
void
pps_http_conn_stop(pps_http_conn_t *conn);

/** Reads from the caller, from now on. */
void
pps_http_conn_read(pps_http_conn_t *conn);

/** Frees what is kept of the request's body, and keeps no more of it. */
void
pps_http_conn_discard_body(pps_http_conn_t *conn);

/** Reports that the request's body has been freed, if the owner wants to know.
 */
void
pps_http_conn_release(pps_http_conn_t *conn);

/** Goes on discarding input behind the last response. Closing with unread
 * input resets the connection, and the caller may lose the response. */
void
pps_http_conn_linger_on(pps_http_conn_t *conn, size_t size);

/** Waits for the next request, which may have come already. It is read from
 * the loop, not in the call that ended the answer before it. */
void
pps_http_conn_await_request(pps_http_conn_t *conn);

/** Moves to the next state. @return what is to be done */
pps_conn_action_t
pps_http_conn_advance(pps_http_conn_t *conn, pps_conn_event_t event);

/** Handles an event that the owner does not cause. */
void
pps_http_conn_handle(pps_http_conn_t *conn, pps_conn_event_t event);

/** Ends the connection behind its output: it is shut down when that is
 * written. */
void
pps_http_conn_finish(pps_http_conn_t *conn);

/** Handles output that has been written, or can't be. */
void
pps_http_conn_on_written(void *user, int error);

/** Writes the output that has been collected. @return 0 or an error */
int
pps_http_conn_flush(pps_http_conn_t *conn);

/** Collects output until the loop waits for events again; then `on_flush` is
 * called with the connection. The head of a response, the events that arrived
 * together and the end are one write that way: each packet can be lost, which
 * delays the response by a retransmission. */
void
pps_http_conn_collect(pps_http_conn_t *conn, const uv_buf_t *pieces,
                      unsigned int count, void (*on_flush)(void *user));

#endif
