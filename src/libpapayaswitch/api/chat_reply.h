/**
 * @file chat_reply.h
 * @brief Encodes chat completions for callers, as one object or as a stream.
 */
#ifndef PPS_API_CHAT_REPLY_H
#define PPS_API_CHAT_REPLY_H

#include "buf.h"
#include "papayaswitch/answer.h"

#include <jansson.h>

/** Values that all parts of a reply share. */
typedef struct {
    const char *request_id;
    const char *model;
    int64_t created_s;
    char *delta_prefix; /**< JSON before a delta's text; NULL: not encoded */
    char *delta_suffix; /**< JSON of a delta after its text */
} pps_chat_reply_t;

/** Returns a new object for an answer that is not streamed. */
json_t *
pps_chat_reply_completion(const pps_chat_reply_t *reply, const char *text,
                          const pps_answer_usage_t *usage);

/** Frees the prefix and suffix of delta events. */
void
pps_chat_reply_clear(pps_chat_reply_t *reply);

/** Appends a server-sent event with one piece of the text. */
int
pps_chat_reply_delta(pps_chat_reply_t *reply, pps_buf_t *out,
                     const char *text);

/** Appends the last events of a complete answer, including `[DONE]`. */
int
pps_chat_reply_finish(const pps_chat_reply_t *reply, pps_buf_t *out,
                      const pps_answer_usage_t *usage);

/** Appends an event with an error object, which it releases; no `[DONE]`
 * follows. */
int
pps_chat_reply_error(pps_buf_t *out, json_t *error);

#endif
