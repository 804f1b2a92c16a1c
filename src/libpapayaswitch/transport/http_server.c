/** @file http_server.c @brief Listens for connections and drains them. */
#include "http_server_state.h"

#include "papayaswitch/errors.h"

#include <http_parser.h>
#include <stdlib.h>

#define LISTEN_BACKLOG 1024

static void
on_connection(uv_stream_t *listener, int status)
{
    if (status == 0) {
        pps_http_conn_accept(listener->data);
    }
}

int
pps_http_server_new(pps_http_server_t **out, pps_reactor_t *reactor,
                    const char *address, unsigned int port,
                    const pps_http_limits_t *limits,
                    const pps_http_server_ops_t *ops, void *user)
{
    pps_http_server_t *server = calloc(1, sizeof(*server));
    struct sockaddr_in endpoint;
    int error;

    if (server == NULL) {
        return PPS_ENOMEM;
    }
    server->reactor = reactor;
    server->limits = limits;
    server->ops = ops;
    server->user = user;
    server->listening = 1;
    CDS_INIT_LIST_HEAD(&server->conns);
    uv_tcp_init(&reactor->loop, &server->listener);
    server->listener.data = server;
    error = uv_ip4_addr(address, (int)port, &endpoint);
    if (error == 0) {
        error =
            uv_tcp_bind(&server->listener, (struct sockaddr *)&endpoint, 0);
    }
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                          on_connection);
    }
    if (error != 0) {
        return pps_error_set(PPS_EIO, "%s:%u: %s", address, port,
                             uv_strerror(error));
    }
    *out = server;
    return PPS_OK;
}

void
pps_http_server_drain(pps_http_server_t *server)
{
    server->draining = 1;
}

void
pps_http_server_stop(pps_http_server_t *server)
{
    pps_http_conn_t *conn;
    pps_http_conn_t *next;

    server->draining = 1;
    if (server->listening) {
        server->listening = 0;
        uv_close((uv_handle_t *)&server->listener, NULL);
    }
    cds_list_for_each_entry_safe (conn, next, &server->conns, node) {
        pps_http_conn_stop(conn);
    }
}

unsigned int
pps_http_server_port(const pps_http_server_t *server)
{
    struct sockaddr_in endpoint = {0};
    int size = sizeof(endpoint);

    uv_tcp_getsockname(&server->listener, (struct sockaddr *)&endpoint, &size);
    return ntohs(endpoint.sin_port);
}

size_t
pps_http_server_queued_bytes(const pps_http_server_t *server)
{
    const pps_http_conn_t *conn;
    size_t sum = 0;

    cds_list_for_each_entry (conn, &server->conns, node) {
        sum += pps_http_conn_queued_bytes(conn);
    }
    return sum;
}

size_t
pps_http_server_connections(const pps_http_server_t *server)
{
    return server->conn_count;
}

const char *
pps_http_phrase(unsigned int status)
{
    switch (status) {
#define PPS_PHRASE(number, name, phrase)                                      \
    case number:                                                              \
        return #phrase;
        HTTP_STATUS_MAP(PPS_PHRASE)
#undef PPS_PHRASE
    default:
        return "Other";
    }
}
