/**
 * @file harness_http.h
 * @brief HTTP calls for tests, each on a new connection.
 */
#ifndef PPS_TESTS_HARNESS_HTTP_H
#define PPS_TESTS_HARNESS_HTTP_H

#include "buf.h"

#include <jansson.h>

/** Most headers of one call. */
#define HARNESS_HEADERS_MAX 8

/** A request. */
typedef struct {
    const char *method;
    int port; /**< on 127.0.0.1 */
    const char *path;
    const char *body;                         /**< or NULL */
    const char *headers[HARNESS_HEADERS_MAX]; /**< `Name: value` */
    int timeout_ms;                           /**< 0: ten seconds */
    /** Body bytes after which the connection is closed; 0: no limit. */
    size_t abort_after_bytes;
} harness_call_t;

/** The response to a call. */
typedef struct {
    int status; /**< 0: no response was received */
    int broken; /**< the transfer failed before the end of the response */
    pps_buf_t headers;
    pps_buf_t text;
    json_t *json; /**< the parsed body, or NULL */
} harness_reply_t;

/** Sends a request. The caller clears the reply, also after a failure. */
void
harness_call(harness_reply_t *reply, const harness_call_t *call);

/** Sends a request with a JSON body, or NULL; steals the body's reference. */
void
harness_json(harness_reply_t *reply, const char *method, int port,
             const char *path, json_t *body);

/** Sends a request like harness_json() and returns its HTTP status, or 0. */
int
harness_status(const char *method, int port, const char *path, json_t *body);

/** Returns an integer member of the reply's JSON object, or -1. */
json_int_t
harness_reply_int(const harness_reply_t *reply, const char *key);

/** Returns a string member of the reply's JSON object, or "". */
const char *
harness_reply_text(const harness_reply_t *reply, const char *key);

void
harness_reply_clear(harness_reply_t *reply);

#endif
