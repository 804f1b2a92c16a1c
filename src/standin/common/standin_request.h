/**
 * @file standin_request.h
 * @brief Reads the body, parameters and connection state of a request.
 */
#ifndef STANDIN_REQUEST_H
#define STANDIN_REQUEST_H

#include <jansson.h>
#include <stdint.h>
#include <ulfius.h>

/** Returns the body as JSON, freed by the caller, or NULL if it is invalid. */
json_t *
standin_request_json(const struct _u_request *request);

/** Returns a path or query integer; `fallback` if it is missing or invalid. */
int64_t
standin_request_int(const struct _u_request *request, const char *name,
                    int64_t fallback);

/** Returns the URL-decoded path after `prefix`, or ""; the caller frees it. */
char *
standin_request_path_suffix(const struct _u_request *request,
                            const char *prefix);

/** Shuts the caller's connection down without a response. */
void
standin_request_abort(const struct _u_request *request);

/** Returns whether the caller has closed its side, or has no socket here. */
int
standin_request_is_closed(const struct _u_request *request);

#endif
