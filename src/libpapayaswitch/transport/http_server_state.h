/** @file http_server_state.h @brief Inside of the HTTP server. */
#ifndef PPS_TRANSPORT_HTTP_SERVER_STATE_H
#define PPS_TRANSPORT_HTTP_SERVER_STATE_H

#include "http_server.h"

#include <http_parser.h>
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
    size_t count;
};

typedef enum {
    CONN_READING, /* between requests or within one */
    CONN_SERVING, /* a request waits for its answer */
    CONN_ENDING,  /* the last answer is out, bytes are thrown away */
    CONN_CLOSED,
} conn_state_t;

struct pps_http_conn {
    struct cds_list_head node;
    pps_http_server_t *server;
    uv_tcp_t tcp;
    uv_shutdown_t shutdown;
    http_parser parser;
    conn_state_t state;
    int begun; /* a request's first byte has been read */
    int keep;  /* the connection outlives this answer */
    unsigned int refusal;
    size_t header_bytes;
    pps_http_request_t request;
    pps_buf_t pending; /* read behind the request being served */
    pps_timer_t timer;
    void *exchange;
};

/** Collects a request into the connection that `data` of the parser names; a
 * refusal's status stands in its `refusal`, and the parser stops. */
extern const http_parser_settings pps_http_conn_parser;

/** Takes a connection from the listener. */
void
pps_http_conn_accept(pps_http_server_t *server);

/** Closes a connection; the owner isn't told. */
void
pps_http_conn_close(pps_http_conn_t *conn);

#endif
