/**
 * @file chat_request.h
 * @brief The body of `POST /v1/chat/completions`, checked.
 */
#ifndef PPS_API_CHAT_REQUEST_H
#define PPS_API_CHAT_REQUEST_H

#include "buf.h"

#include <jansson.h>
#include <stdint.h>

/** Most tokens that one request may ask for. */
#define PPS_MAX_TOKENS_LIMIT 32768

/** Tokens generated when the request does not say. */
#define PPS_MAX_TOKENS_DEFAULT 256

/** A checked request. */
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
 * @return 0; PPS_EINVALID with the place and the reason as last error
 */
int
pps_chat_request_decode(pps_chat_request_t *out, const void *body,
                        size_t size);

/** Frees the parts. */
void
pps_chat_request_clear(pps_chat_request_t *request);

#endif
