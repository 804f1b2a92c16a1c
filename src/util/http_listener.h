/**
 * @file http_listener.h
 * @brief HTTP server on ulfius with limits on connections and bodies.
 */
#ifndef PPS_UTIL_HTTP_LISTENER_H
#define PPS_UTIL_HTTP_LISTENER_H

#include <stddef.h>
#include <ulfius.h>

/** Limits of a listener. */
typedef struct {
    unsigned int connections_max;
    size_t body_bytes_max;       /**< of a request */
    unsigned int idle_timeout_s; /**< until a stalled connection closes */
} pps_http_limits_t;

#define PPS_HTTP_LIMITS_INIT                                                  \
    {                                                                         \
        4000, 4u << 20, 75                                                    \
    }

/** HTTP server on one address. */
typedef struct pps_http_listener pps_http_listener_t;

/** Callback of ulfius, run on the thread of the connection. */
typedef int (*pps_http_handler_t)(const struct _u_request *request,
                                  struct _u_response *response, void *user);

/** Binds an IPv4 address, without serving yet. Port 0 takes a free port.
 * @return 0, PPS_EINVALID, PPS_EIO, PPS_ENOMEM or PPS_EGENERIC */
int
pps_http_listener_new(pps_http_listener_t **out, const char *address,
                      unsigned int port, const pps_http_limits_t *limits);

/** Adds an endpoint; `format` is a ulfius URL format such as `/runs/:id` or
 * `/call/` and a star. @return 0 or PPS_EGENERIC */
int
pps_http_listener_add(pps_http_listener_t *listener, const char *method,
                      const char *format, pps_http_handler_t handler,
                      void *user);

/** Returns the bound port. */
unsigned int
pps_http_listener_port(const pps_http_listener_t *listener);

/** Starts serving. @return 0 or PPS_EIO */
int
pps_http_listener_start(pps_http_listener_t *listener);

/** Stops accepting; serves open connections until the listener is freed. */
void
pps_http_listener_quiesce(pps_http_listener_t *listener);

/** Returns the number of open connections; 0 before the start. */
unsigned int
pps_http_listener_connections(const pps_http_listener_t *listener);

/** Stops, waits for running callbacks, and frees; NULL is allowed. */
void
pps_http_listener_free(pps_http_listener_t *listener);

/** Sets a JSON response; takes the reference to `body`. */
void
pps_http_reply_json(struct _u_response *response, unsigned int status,
                    json_t *body);

/** Returns a request header by its case-insensitive name, or NULL. */
const char *
pps_http_header(const struct _u_request *request, const char *name);

#endif
