/**
 * @file http_client.h
 * @brief HTTP calls over kept connections, pulled in the caller's thread.
 *
 * libcurl is what ulfius' own client stands on; that client opens a
 * connection for each call (docs/design/http.md has the figures).
 * A client is safe from any thread; a stream belongs to one thread.
 */
#ifndef PPS_UTIL_HTTP_CLIENT_H
#define PPS_UTIL_HTTP_CLIENT_H

#include "buf.h"

#include <stddef.h>

/** Keeps idle connections, by the host and port that they lead to. */
typedef struct pps_http_client pps_http_client_t;

/** An answer that is read piece by piece. */
typedef struct pps_http_stream pps_http_stream_t;

/** A request; zero-initialise what is not needed. */
typedef struct {
    const char *method;         /**< NULL: GET, or POST with a body */
    const char *url;            /**< `http://ADDRESS:PORT/path` */
    const char *const *headers; /**< `Name: value` lines */
    size_t header_count;
    const void *body;
    size_t body_size;
    int connect_timeout_ms; /**< 0: CONNECT_TIMEOUT_MS_DEFAULT */
    int answer_timeout_ms;  /**< until the status line; 0: 10 s */
    /**
     * Never use a kept connection. Required for calls that must not be sent
     * twice: libcurl repeats a request by itself when a kept connection
     * turns out to be dead.
     */
    int fresh_connection;
} pps_http_request_t;

/** Room for a content type, its end included. */
#define PPS_HTTP_CONTENT_TYPE_BYTES 96

/** A whole answer; free with pps_http_response_clear(). */
typedef struct {
    int status;
    int retry_after_s; /**< -1 when the header is absent */
    char content_type[PPS_HTTP_CONTENT_TYPE_BYTES];
    pps_buf_t body;
} pps_http_response_t;

int
pps_http_client_new(pps_http_client_t **out);

/** Closes the kept connections; all streams must be closed before. */
void
pps_http_client_free(pps_http_client_t *client);

/**
 * Sends a request and waits for the status line.
 * @return 0; PPS_EUNAVAILABLE when surely nothing was sent; PPS_ETIMEOUT or
 *         PPS_EUNKNOWN when the request may have been taken
 */
int
pps_http_stream_open(pps_http_stream_t **out, pps_http_client_t *client,
                     const pps_http_request_t *request);

/** Status of the answer. */
int
pps_http_stream_status(const pps_http_stream_t *stream);

/** Seconds of the Retry-After header, or -1. */
int
pps_http_stream_retry_after(const pps_http_stream_t *stream);

/**
 * Appends what has arrived to `out`, waiting up to `wait_ms` for more.
 * @return 1 when bytes came; 0 at the end of a whole answer; PPS_ETIMEOUT
 *         when nothing came; PPS_EUNKNOWN when the connection broke
 */
int
pps_http_stream_read(pps_http_stream_t *stream, pps_buf_t *out, int wait_ms);

/** Closes; a connection whose answer was not read whole is dropped. */
void
pps_http_stream_close(pps_http_stream_t *stream);

/** Sends a request and reads the whole answer within `answer_timeout_ms`. */
int
pps_http_client_call(pps_http_response_t *out, pps_http_client_t *client,
                     const pps_http_request_t *request);

/** Frees the parts of an answer. */
void
pps_http_response_clear(pps_http_response_t *response);

#endif
