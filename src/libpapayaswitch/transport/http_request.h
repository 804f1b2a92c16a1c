/**
 * @file http_request.h
 * @brief A caller's request and the limits that it must keep to.
 */
#ifndef PPS_TRANSPORT_HTTP_REQUEST_H
#define PPS_TRANSPORT_HTTP_REQUEST_H

#include "headers.h"

#include <stddef.h>
#include <stdint.h>

/** A complete request. */
typedef struct {
    const char *method;
    pps_buf_t target; /**< path and query */
    pps_headers_t headers;
    pps_buf_t body;
    int64_t received_us; /**< when its last byte was parsed */
} pps_http_request_t;

/** Limits on requests, read anew for each; the owner may change them. */
typedef struct {
    size_t header_bytes; /**< target, field names and values together, and the
                              field lines of a trailer */
    size_t body_bytes;
    int64_t request_timeout_us; /**< from a request's first byte to its last */
    int64_t idle_timeout_us;    /**< wait for the first byte of a request */
} pps_http_limits_t;

#endif
