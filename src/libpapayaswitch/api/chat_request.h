/**
 * @file chat_request.h
 * @brief Decodes and checks the body of `POST /v1/chat/completions`.
 */
#ifndef PPS_API_CHAT_REQUEST_H
#define PPS_API_CHAT_REQUEST_H

#include "buf.h"

#include <jansson.h>
#include <stdint.h>

/** Maximum of `max_tokens` in a request. */
#define PPS_MAX_TOKENS_LIMIT 32768

/** Maximum number of generated tokens if the request sets none. */
#define PPS_MAX_TOKENS_DEFAULT 256

/** A decoded request. */
typedef struct {
    json_t *body; /**< owns the strings */
    const char *model;
    pps_buf_t prompt;
    uint32_t max_tokens;
    int stream;
    int include_usage;
} pps_chat_request_t;

/**
 * Decodes and checks a body.
 * @return 0; PPS_EINVALID, with the field and the reason as error detail;
 *         PPS_ENOMEM
 */
int
pps_chat_request_decode(pps_chat_request_t *out, const void *body,
                        size_t size);

/** Frees the members. */
void
pps_chat_request_clear(pps_chat_request_t *request);

#endif
