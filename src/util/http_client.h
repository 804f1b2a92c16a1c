/**
 * @file http_client.h
 * @brief HTTP client with pooled connections that runs on the caller's thread.
 *
 * It uses libcurl directly, because the client of ulfius, which is based on
 * libcurl too, opens a connection for each call (figures are in
 * docs/design/http.md). A client may be used by any thread, a stream by one.
 */
#ifndef PPS_UTIL_HTTP_CLIENT_H
#define PPS_UTIL_HTTP_CLIENT_H

#include "buf.h"

#include <stddef.h>

/** Pool of idle connections, keyed by host and port. */
typedef struct pps_http_client pps_http_client_t;

/** Response that is read incrementally. */
typedef struct pps_http_stream pps_http_stream_t;

/** Request; fields that are not needed are zero. */
typedef struct {
    const char *method;         /**< NULL: POST with a body, else GET */
    const char *url;            /**< `http://ADDRESS:PORT/path` */
    const char *const *headers; /**< `Name: value` lines */
    size_t header_count;
    const void *body;
    size_t body_size;
    int connect_timeout_ms; /**< 0: 1 s */
    int answer_timeout_ms;  /**< until the headers; 0: 10 s */
    /**
     * Whether to open a new connection. Required for requests that must not be
     * sent twice: libcurl retries a request by itself if the reused connection
     * was already closed.
     */
    int fresh_connection;
} pps_http_request_t;

/** Size of a content type, with its NUL byte. */
#define PPS_HTTP_CONTENT_TYPE_BYTES 96

/** Complete response; free with pps_http_response_clear(). */
typedef struct {
    int status;
    int retry_after_s; /**< -1 when the header is absent */
    char content_type[PPS_HTTP_CONTENT_TYPE_BYTES];
    pps_buf_t body;
} pps_http_response_t;

/** Creates a client, which the caller frees. @return 0 or PPS_ENOMEM */
int
pps_http_client_new(pps_http_client_t **out);

/** Closes the idle connections. All streams must be closed already. */
void
pps_http_client_free(pps_http_client_t *client);

/**
 * Sends a request and waits for the response headers.
 * @return 0; PPS_EINVALID, PPS_ENOMEM or PPS_EUNAVAILABLE if nothing was
 *         sent; PPS_ETIMEOUT or PPS_EUNKNOWN if the server may have received
 *         the request
 */
int
pps_http_stream_open(pps_http_stream_t **out, pps_http_client_t *client,
                     const pps_http_request_t *request);

/** Returns the HTTP status. */
int
pps_http_stream_status(const pps_http_stream_t *stream);

/** Returns whether the request was sent on a connection that earlier ones had
 * used: its response may be a second copy of one of theirs. */
int
pps_http_stream_is_reused(const pps_http_stream_t *stream);

/** Closes the stream and its connection. */
void
pps_http_stream_discard(pps_http_stream_t *stream);

/** Returns the seconds of the Retry-After header, or -1. */
int
pps_http_stream_retry_after(const pps_http_stream_t *stream);

/**
 * Appends the received body bytes to `out`; waits up to `wait_ms` if there
 * are none.
 * @return 1 if bytes were appended; 0 at the end of a complete response;
 *         PPS_ETIMEOUT if nothing arrived; PPS_EUNKNOWN if the connection
 *         failed or over 16 MiB were unread; PPS_ENOMEM
 */
int
pps_http_stream_read(pps_http_stream_t *stream, pps_buf_t *out, int wait_ms);

/** Closes a stream; the connection is reused only after a full read. */
void
pps_http_stream_close(pps_http_stream_t *stream);

/** Sends a request and reads the response within `answer_timeout_ms`.
 * @return 0, or an error of opening or reading a stream; its body is
 *         then empty */
int
pps_http_client_call(pps_http_response_t *out, pps_http_client_t *client,
                     const pps_http_request_t *request);

/** Frees the body of a response. */
void
pps_http_response_clear(pps_http_response_t *response);

#endif
