/**
 * @file http_server.h
 * @brief HTTP/1.1 server on an event loop.
 *
 * A connection delivers one complete request at a time and sends one response
 * to it. It keeps reading while a request is being served, so that a
 * disconnect is detected at once.
 */
#ifndef PPS_TRANSPORT_HTTP_SERVER_H
#define PPS_TRANSPORT_HTTP_SERVER_H

#include "http_request.h"
#include "reactor.h"

/** A listening socket and its connections. */
typedef struct pps_http_server pps_http_server_t;

/** A connection from one caller. */
typedef struct pps_http_conn pps_http_conn_t;

/** Callbacks of the owner. */
typedef struct {
    /** Delivers a request that must be answered or aborted, now or later. It
     * is valid until its response or `on_disconnect`. */
    void (*on_request)(void *user, pps_http_conn_t *conn,
                       const pps_http_request_t *request);
    /** Reports a disconnect before the response ended; called only if an
     * exchange is attached. The connection must not be used afterwards. */
    void (*on_disconnect)(void *user, void *exchange);
    /** Reports that the caller has read on; see
     * pps_http_conn_await_drained(). May be NULL if that is not used. */
    void (*on_drained)(void *user, void *exchange);
    /** Shows a request whose head is complete while its body is still to come.
     * It may be refused with pps_http_conn_respond(), but with no answer else;
     * its body is discarded then. Not called if all of it came at once. May be
     * NULL. */
    void (*on_head)(void *user, pps_http_conn_t *conn,
                    const pps_http_request_t *request);
    /** Reports that the body of a request has been freed, with the connection
     * or before; called once after pps_http_conn_hold(). */
    void (*on_released)(void *user, void *holding);
} pps_http_server_ops_t;

/** Listens on an IPv4 address; port 0 selects a free port. `limits` and `ops`
 * must outlive the server. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_http_server_new(pps_http_server_t **out, pps_reactor_t *reactor,
                    const char *address, unsigned int port,
                    const pps_http_limits_t *limits,
                    const pps_http_server_ops_t *ops, void *user);

/** Makes each connection close after its next response. */
void
pps_http_server_drain(pps_http_server_t *server);

/** Stops listening, drains all connections, and closes those that are idle as
 * soon as their output is written. */
void
pps_http_server_stop(pps_http_server_t *server);

/** Returns the port of the listening socket. */
unsigned int
pps_http_server_port(const pps_http_server_t *server);

/** Returns the bytes that wait on all connections to be written. */
size_t
pps_http_server_queued_bytes(const pps_http_server_t *server);

/** Returns the number of open connections. */
size_t
pps_http_server_connections(const pps_http_server_t *server);

/** Sets the object that `on_disconnect` receives for the current request. */
void
pps_http_conn_attach(pps_http_conn_t *conn, void *exchange);

/** Sets the object that `on_released` receives when the request's body is
 * freed. Only in `on_head`. */
void
pps_http_conn_hold(pps_http_conn_t *conn, void *holding);

/** Returns whether a request is being read that is not complete. */
int
pps_http_conn_is_reading(const pps_http_conn_t *conn);

/** Returns the bytes of the body whose head is complete, or UINT64_MAX if that
 * does not tell. */
uint64_t
pps_http_conn_body_bytes(const pps_http_conn_t *conn);

/** Stops reading a request, so that a disconnect is not seen either. The time
 * for it goes on. */
void
pps_http_conn_pause_reading(pps_http_conn_t *conn);

/** Goes on reading. */
void
pps_http_conn_resume_reading(pps_http_conn_t *conn);

/** Sets the longest time from now until a request whose head is complete has
 * come; a shorter one remains. */
void
pps_http_conn_limit_reading(pps_http_conn_t *conn, int64_t limit_us);

/** Sends a complete response; may deliver the next request before it returns.
 * A write error closes the connection without `on_disconnect`.
 * @param fields header lines, each ending in CR LF; may be "" */
void
pps_http_conn_respond(pps_http_conn_t *conn, unsigned int status,
                      const char *fields, const void *body, size_t size);

/** Starts a chunked response; `fields` as in pps_http_conn_respond(). */
void
pps_http_conn_begin(pps_http_conn_t *conn, unsigned int status,
                    const char *fields);

/** Sends a chunk; `size` 0 does nothing. Bytes that the caller does not read
 * are queued, up to 4 MiB: the owner should stop before. A write error or more
 * bytes than that lead to `on_disconnect` later, and the answer has no end. */
void
pps_http_conn_chunk(pps_http_conn_t *conn, const void *data, size_t size);

/** Ends a chunked response; otherwise as pps_http_conn_respond(). */
void
pps_http_conn_end(pps_http_conn_t *conn);

/** Closes the connection without `on_disconnect`, truncating the response. */
void
pps_http_conn_abort(pps_http_conn_t *conn);

/** Calls `on_drained` once, when no more than `bytes` of the response wait for
 * the caller. Only if an exchange is attached and more bytes wait now. */
void
pps_http_conn_await_drained(pps_http_conn_t *conn, size_t bytes);

/** Returns the number of bytes of the response that are not yet sent. */
size_t
pps_http_conn_queued_bytes(const pps_http_conn_t *conn);

/** Writes the IPv4 address that the connection comes from, or "". */
void
pps_http_conn_peer_address(char *out, size_t size,
                           const pps_http_conn_t *conn);

/** Returns the reason phrase of a status, such as "Not Found", or "Other". */
const char *
pps_http_phrase(unsigned int status);

#endif
