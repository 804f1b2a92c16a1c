/**
 * @file http_server.h
 * @brief HTTP/1.1 towards callers on an event loop.
 *
 * A connection hands over one whole request at a time and is answered once.
 * Reading goes on while a request is being served, so that a caller who leaves
 * is noticed at once.
 */
#ifndef PPS_TRANSPORT_HTTP_SERVER_H
#define PPS_TRANSPORT_HTTP_SERVER_H

#include "headers.h"
#include "reactor.h"

/** A listener with its connections. */
typedef struct pps_http_server pps_http_server_t;

/** One caller's connection. */
typedef struct pps_http_conn pps_http_conn_t;

/** A request, whole. Valid until its answer has ended. */
typedef struct {
    const char *method;
    pps_buf_t target;
    pps_headers_t headers;
    pps_buf_t body;
    int64_t received_us; /**< when its last byte was read */
} pps_http_request_t;

/** What callers may send; read anew for each request. */
typedef struct {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_us; /**< from a request's first byte to its last */
    int64_t idle_us;   /**< between requests */
} pps_http_limits_t;

/** What the owner is told. */
typedef struct {
    /** A request has arrived; it must be answered or aborted later. */
    void (*request)(void *user, pps_http_conn_t *conn,
                    const pps_http_request_t *request);
    /** The caller has left before the end of its answer. The connection must
     * not be used afterwards. */
    void (*gone)(void *user, void *exchange);
} pps_http_server_ops_t;

/** Listens. @param address IP number @return 0 or PPS_EIO */
int
pps_http_server_new(pps_http_server_t **out, pps_reactor_t *reactor,
                    const char *address, unsigned int port,
                    const pps_http_limits_t *limits,
                    const pps_http_server_ops_t *ops, void *user);

/** Ends each connection with its next answer. */
void
pps_http_server_drain(pps_http_server_t *server);

/** Takes no more connections and closes the idle ones. */
void
pps_http_server_stop(pps_http_server_t *server);

/** The port it listens on. */
unsigned int
pps_http_server_port(const pps_http_server_t *server);

/** Open connections. */
size_t
pps_http_server_connections(const pps_http_server_t *server);

/** Ties the owner's object to the request being served; handed to `gone`. */
void
pps_http_conn_attach(pps_http_conn_t *conn, void *exchange);

/**
 * Answers whole.
 * @param fields header lines, each with CR LF; may be ""
 */
void
pps_http_conn_respond(pps_http_conn_t *conn, unsigned int status,
                      const char *fields, const void *body, size_t size);

/** Begins an answer that is sent in chunks. */
void
pps_http_conn_begin(pps_http_conn_t *conn, unsigned int status,
                    const char *fields);

/** Sends a chunk; `size` 0 does nothing. */
void
pps_http_conn_chunk(pps_http_conn_t *conn, const void *data, size_t size);

/** Ends an answer sent in chunks. */
void
pps_http_conn_end(pps_http_conn_t *conn);

/** Closes the connection so that an answer under way is seen as broken. */
void
pps_http_conn_abort(pps_http_conn_t *conn);

/** The standard phrase of a status, such as "Not Found". */
const char *
pps_http_phrase(unsigned int status);

#endif
