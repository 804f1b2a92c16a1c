/**
 * @file chat.h
 * @brief Endpoint `POST /v1/chat/completions`.
 */
#ifndef PPS_ROUTER_CHAT_H
#define PPS_ROUTER_CHAT_H

#include "api/chat_reply.h"
#include "api/chat_request.h"
#include "call.h"

/** A completion in progress. */
typedef struct {
    pps_call_t call;
    pps_chat_request_t request;
    pps_chat_reply_t reply;
    pps_worker_view_t *workers;
    char pinned[PPS_NAME_MAX + 1]; /**< version; "" without a session */
    pps_quality_held_t held;
    pps_answer_t *answer;
    pps_buf_t out; /**< text read, or encoded events if streamed */
    int ended;     /**< nonzero once completed or failed */
} pps_chat_t;

/** Serves the endpoint; `user` is the router. */
int
pps_chat_handle(const struct _u_request *request, struct _u_response *response,
                void *user);

/** Answers with server-sent events. Takes ownership of `chat`. */
int
pps_chat_stream(pps_chat_t *chat, struct _u_response *response);

/**
 * Registers a completion for ratings and bills it: pps_bill_link_bill(). Call
 * it before the last byte is sent.
 */
int
pps_chat_bill(pps_chat_t *chat, const pps_answer_usage_t *usage);

/**
 * Frees a completion. One that has not ended is cancelled, and billed if it
 * has generated tokens.
 */
void
pps_chat_free(pps_chat_t *chat);

#endif
