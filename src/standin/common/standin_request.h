/**
 * @file standin_request.h
 * @brief What a stand-in reads from a request.
 */
#ifndef STANDIN_REQUEST_H
#define STANDIN_REQUEST_H

#include <jansson.h>
#include <stdint.h>
#include <ulfius.h>

/** The body as JSON, or NULL when it is none; the caller gives it back. */
json_t *
standin_request_json(const struct _u_request *request);

/** A number from the path or the query; `fallback` when it is missing. */
int64_t
standin_request_int(const struct _u_request *request, const char *name,
                    int64_t fallback);

/** The decoded path behind `prefix`; free() by the caller. */
char *
standin_request_tail(const struct _u_request *request, const char *prefix);

/** Closes the caller's connection without an answer. */
void
standin_request_abort(const struct _u_request *request);

/** Whether the caller has closed its side. */
int
standin_request_gone(const struct _u_request *request);

#endif
