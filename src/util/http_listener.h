/**
 * @file http_listener.h
 * @brief An ulfius server on a given address; port 0 takes a free one.
 */
#ifndef PPS_UTIL_HTTP_LISTENER_H
#define PPS_UTIL_HTTP_LISTENER_H

#include <stddef.h>
#include <ulfius.h>

/** Bounds of a listener. */
typedef struct {
    unsigned int connections_max;
    size_t body_bytes_max;
    unsigned int idle_timeout_s; /**< closes connections that stall */
} pps_http_limits_t;

#define PPS_HTTP_LIMITS_INIT                                                  \
    {                                                                         \
        4000, 4u << 20, 75                                                    \
    }

/** A running server. */
typedef struct pps_http_listener pps_http_listener_t;

/** A callback as ulfius calls it, on the connection's own thread. */
typedef int (*pps_http_handler_t)(const struct _u_request *request,
                                  struct _u_response *response, void *user);

/** Binds the address; the server starts with pps_http_listener_start(). */
int
pps_http_listener_new(pps_http_listener_t **out, const char *address,
                      unsigned int port, const pps_http_limits_t *limits);

/** Adds an endpoint; `format` is ulfius' (`/runs/:id`, `/call/` + star). */
int
pps_http_listener_add(pps_http_listener_t *listener, const char *method,
                      const char *format, pps_http_handler_t handler,
                      void *user);

/** The port in use. */
unsigned int
pps_http_listener_port(const pps_http_listener_t *listener);

/** Starts to serve. */
int
pps_http_listener_start(pps_http_listener_t *listener);

/** Stops to accept; connections under way go on until freed. */
void
pps_http_listener_quiesce(pps_http_listener_t *listener);

/** Connections that are open. */
unsigned int
pps_http_listener_connections(const pps_http_listener_t *listener);

/** Stops, waits for running callbacks, and frees. NULL is allowed. */
void
pps_http_listener_free(pps_http_listener_t *listener);

/** Sets a JSON answer; takes the reference of `body`. */
void
pps_http_reply_json(struct _u_response *response, unsigned int status,
                    json_t *body);

/** A request header, or NULL. */
const char *
pps_http_header(const struct _u_request *request, const char *name);

#endif
