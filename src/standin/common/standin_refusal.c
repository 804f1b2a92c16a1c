/** @file standin_refusal.c @brief Table of the HTTP responses for refusals. */
#include "standin_refusal.h"

#include "http_listener.h"
#include "papayaswitch/errors.h"

#include <string.h>

typedef struct {
    unsigned int status;
    const char *code;
    const char *retry_after; /**< seconds, or NULL */
} refusal_response_t;

static const refusal_response_t refusal_responses[STANDIN_REFUSAL_COUNT] = {
    [STANDIN_REFUSAL_NONE] = {200, "none", NULL},
    [STANDIN_REFUSAL_DRAINING] = {503, "draining", NULL},
    [STANDIN_REFUSAL_FULL] = {429, "full", "1"},
    [STANDIN_REFUSAL_VERSION_NOT_LOADED] = {404, "version_not_loaded", NULL},
    [STANDIN_REFUSAL_BROKEN] = {500, "broken", NULL},
    [STANDIN_REFUSAL_STALE_REVISION] = {409, "stale_revision", NULL},
    [STANDIN_REFUSAL_STALE_FENCING] = {409, "stale_fencing", NULL},
    [STANDIN_REFUSAL_RATE_LIMITED] = {429, "rate_limited", "1"},
    [STANDIN_REFUSAL_DOWN] = {503, "down", NULL},
    [STANDIN_REFUSAL_MALFORMED] = {400, "malformed", NULL},
    [STANDIN_REFUSAL_NOT_FOUND] = {404, "not_found", NULL},
};

standin_refusal_t
standin_refusal_find(const char *code)
{
    for (int i = 1; i < STANDIN_REFUSAL_COUNT; i++) {
        if (code != NULL && strcmp(refusal_responses[i].code, code) == 0) {
            return (standin_refusal_t)i;
        }
    }
    return STANDIN_REFUSAL_NONE;
}

int
standin_refuse(struct _u_response *response, standin_refusal_t refusal)
{
    const refusal_response_t *entry = &refusal_responses[refusal];

    if (entry->retry_after != NULL) {
        u_map_put(response->map_header, "Retry-After", entry->retry_after);
    }
    pps_http_reply_json(response, entry->status,
                        json_pack("{s:s}", "error", entry->code));
    return U_CALLBACK_COMPLETE;
}

int
standin_refuse_malformed(struct _u_response *response)
{
    pps_http_reply_json(response, 400,
                        json_pack("{s:s,s:s}", "error", "malformed", "detail",
                                  pps_error_last()));
    return U_CALLBACK_COMPLETE;
}
