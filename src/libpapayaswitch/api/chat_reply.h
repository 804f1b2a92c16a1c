/**
 * @file chat_reply.h
 * @brief Chat completions as callers receive them, whole or as a stream.
 */
#ifndef PPS_API_CHAT_REPLY_H
#define PPS_API_CHAT_REPLY_H

#include "buf.h"
#include "papayaswitch/answer.h"

#include <jansson.h>

/** What every part of a reply names. */
typedef struct {
    const char *request_id;
    const char *model;
    int64_t created_s;
    char *head; /**< of every delta event, up to its text; made once */
    char *tail; /**< behind the text */
} pps_chat_reply_t;

/** The object of an answer that is not streamed. */
json_t *
pps_chat_reply_completion(const pps_chat_reply_t *reply, const char *text,
                          const pps_answer_usage_t *usage);

/** Frees what the events of a stream share. */
void
pps_chat_reply_clear(pps_chat_reply_t *reply);

/** Appends a server-sent event with some text. */
int
pps_chat_reply_delta(pps_chat_reply_t *reply, pps_buf_t *out,
                     const char *text);

/** Appends the last events of a whole answer, `[DONE]` included. */
int
pps_chat_reply_finish(const pps_chat_reply_t *reply, pps_buf_t *out,
                      const pps_answer_usage_t *usage);

/** Appends an event with an error object; no `[DONE]` follows it. */
int
pps_chat_reply_error(pps_buf_t *out, json_t *error);

#endif
