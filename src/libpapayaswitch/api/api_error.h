/**
 * @file api_error.h
 * @brief Errors as callers see them: a stable code, and whether it was run.
 */
#ifndef PPS_API_API_ERROR_H
#define PPS_API_API_ERROR_H

#include "http_listener.h"

#include <stdint.h>

/** Errors that callers can meet; docs/operators/errors.md lists them. */
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

/** The error object of the OpenAI interface, with `run` and `request_id`. */
json_t *
pps_api_error_json(pps_api_error_t code, const char *request_id,
                   const char *message);

/**
 * Sets an error answer. `Retry-After` is set, rounded up to seconds, when
 * `retry_after_us` is positive; codes that may pass have a default.
 */
void
pps_api_error_reply(struct _u_response *response, pps_api_error_t code,
                    const char *request_id, int64_t retry_after_us,
                    const char *message);

/** The stable code, such as `no_capacity`. */
const char *
pps_api_error_code(pps_api_error_t code);

#endif
