/**
 * @file harness_http.h
 * @brief HTTP calls of tests, each on a connection of its own.
 */
#ifndef PPS_TESTS_HARNESS_HTTP_H
#define PPS_TESTS_HARNESS_HTTP_H

#include "buf.h"

#include <jansson.h>

/** Most headers of one call. */
#define HARNESS_HEADERS_MAX 8

/** A call. */
typedef struct {
    const char *method;
    int port; /**< on 127.0.0.1 */
    const char *path;
    const char *body;                         /**< or NULL */
    const char *headers[HARNESS_HEADERS_MAX]; /**< `Name: value` */
    int timeout_ms;                           /**< 0: ten seconds */
    size_t
        abort_after_bytes; /**< 0, or: leaves once so much of the body came */
} harness_call_t;

/** An answer. */
typedef struct {
    int status; /**< 0: none came */
    int broken; /**< the transfer ended before the answer did */
    pps_buf_t headers;
    pps_buf_t text;
    json_t *json; /**< the body, when it is JSON */
} harness_reply_t;

/** Makes a call. The reply is to be cleared, also after a failure. */
void
harness_call(harness_reply_t *reply, const harness_call_t *call);

/** Calls with a JSON body, whose reference it takes; NULL sends none. */
void
harness_json(harness_reply_t *reply, const char *method, int port,
             const char *path, json_t *body);

/** Calls, and gives only the status; 0 when no answer came. */
int
harness_status(const char *method, int port, const char *path, json_t *body);

/** A whole number of the reply's JSON object; -1 when it is missing. */
json_int_t
harness_reply_int(const harness_reply_t *reply, const char *key);

/** A text of the reply's JSON object; "" when it is missing. */
const char *
harness_reply_text(const harness_reply_t *reply, const char *key);

void
harness_reply_clear(harness_reply_t *reply);

#endif
