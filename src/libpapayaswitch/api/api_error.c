/** @file api_error.c @brief Table of the API errors, and their replies. */
#include "api_error.h"

#include "clock.h"
#include "counters.h"

#include <stdio.h>
#include <string.h>

typedef struct {
    const char *code;
    unsigned int status;
    const char *type;
    const char *run;   /* no: certainly not run; yes: it has run; unknown */
    int retry_after_s; /* minimum for transient errors; 0: no header */
} description_t;

static const description_t descriptions[PPS_API_ERROR_COUNT] = {
    [PPS_API_INVALID_REQUEST] = {"invalid_request", 400,
                                 "invalid_request_error", "no", 0},
    [PPS_API_UNAUTHORIZED] = {"unauthorized", 401, "authentication_error",
                              "no", 0},
    [PPS_API_NOT_ALLOWED] = {"not_allowed", 403, "permission_error", "no", 0},
    [PPS_API_MODEL_NOT_FOUND] = {"model_not_found", 404,
                                 "invalid_request_error", "no", 0},
    [PPS_API_NOT_FOUND] = {"not_found", 404, "invalid_request_error", "no", 0},
    [PPS_API_VERSION_WITHDRAWN] = {"version_withdrawn", 410,
                                   "invalid_request_error", "no", 0},
    [PPS_API_KEY_MISMATCH] = {"idempotency_key_mismatch", 422,
                              "invalid_request_error", "no", 0},
    [PPS_API_IN_PROGRESS] = {"in_progress", 409, "conflict_error", "unknown",
                             1},
    [PPS_API_OVERLOADED] = {"overloaded", 429, "rate_limit_error", "no", 1},
    [PPS_API_NOT_SERVING] = {"not_serving", 503, "unavailable_error", "no", 1},
    [PPS_API_NO_CAPACITY] = {"no_capacity", 503, "unavailable_error", "no", 1},
    [PPS_API_LOG_UNAVAILABLE] = {"log_unavailable", 503, "unavailable_error",
                                 "no", 2},
    [PPS_API_DEADLINE] = {"deadline_exceeded", 504, "timeout_error", "no", 0},
    [PPS_API_UPSTREAM_FAILED] = {"upstream_failed", 502, "upstream_error",
                                 "yes", 1},
    [PPS_API_OUTCOME_UNKNOWN] = {"outcome_unknown", 504, "upstream_error",
                                 "unknown", 1},
    [PPS_API_BILL_NOT_DURABLE] = {"bill_not_safe", 503, "unavailable_error",
                                  "yes", 1},
    [PPS_API_INTERNAL] = {"internal", 500, "server_error", "unknown", 0},
};

const char *
pps_api_error_code(pps_api_error_t code)
{
    return descriptions[code].code;
}

json_t *
pps_api_error_json(pps_api_error_t code, const char *request_id,
                   const char *message)
{
    const description_t *description = &descriptions[code];

    return json_pack("{s:{s:s, s:s, s:s, s:s, s:s}}", "error", "message",
                     message, "type", description->type, "code",
                     description->code, "run", description->run, "request_id",
                     request_id);
}

void
pps_api_error_reply(struct _u_response *response, pps_api_error_t code,
                    const char *request_id, int64_t retry_after_us,
                    const char *message)
{
    const description_t *description = &descriptions[code];
    int64_t seconds = (retry_after_us + PPS_US_PER_S - 1) / PPS_US_PER_S;
    char text[24];

    if (description->retry_after_s > 0) {
        if (seconds < description->retry_after_s) {
            seconds = description->retry_after_s;
        }
        snprintf(text, sizeof(text), "%lld", (long long)seconds);
        u_map_put(response->map_header, "Retry-After", text);
    }
    u_map_put(response->map_header, "X-Request-Id", request_id);
    pps_counter_add(strcmp(description->run, "no") == 0
                        ? PPS_COUNTER_REQUESTS_REFUSED
                        : PPS_COUNTER_REQUESTS_FAILED,
                    1);
    pps_http_reply_json(response, description->status,
                        pps_api_error_json(code, request_id, message));
}
