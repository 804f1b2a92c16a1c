/**
 * @file api_error.h
 * @brief Replies with API errors: a stable code and whether the request ran.
 */
#ifndef PPS_API_API_ERROR_H
#define PPS_API_API_ERROR_H

#include "http_listener.h"

#include <stdint.h>

/** Errors of the API; docs/operators/errors.md describes them. */
typedef enum {
    PPS_API_INVALID_REQUEST,
    PPS_API_UNAUTHORIZED,
    PPS_API_NOT_ALLOWED,
    PPS_API_MODEL_NOT_FOUND,
    PPS_API_NOT_FOUND,
    PPS_API_VERSION_WITHDRAWN,
    PPS_API_KEY_MISMATCH,
    PPS_API_IN_PROGRESS,
    PPS_API_OVERLOADED,
    PPS_API_NOT_SERVING,
    PPS_API_NO_CAPACITY,
    PPS_API_LOG_UNAVAILABLE,
    PPS_API_DEADLINE,
    PPS_API_UPSTREAM_FAILED,
    PPS_API_OUTCOME_UNKNOWN,
    PPS_API_BILL_NOT_DURABLE,
    PPS_API_INTERNAL,
    PPS_API_ERROR_COUNT
} pps_api_error_t;

/** Returns a new error object as in the OpenAI API, with `run` and
 * `request_id` added; NULL if a text is not UTF-8 or memory is exhausted. */
json_t *
pps_api_error_json(pps_api_error_t code, const char *request_id,
                   const char *message);

/**
 * Sets an error reply. Transient errors get a `Retry-After` header of
 * `retry_after_us`, rounded up to seconds, or the code's minimum if larger.
 */
void
pps_api_error_reply(struct _u_response *response, pps_api_error_t code,
                    const char *request_id, int64_t retry_after_us,
                    const char *message);

/** Returns the stable code, such as `no_capacity`. */
const char *
pps_api_error_code(pps_api_error_t code);

#endif
