/**
 * @file chat.h
 * @brief `POST /v1/chat/completions`: one request from body to last byte.
 */
#ifndef PPS_ROUTER_CHAT_H
#define PPS_ROUTER_CHAT_H

#include "api/chat_reply.h"
#include "api/chat_request.h"
#include "call.h"

/** A completion under way. */
typedef struct {
    pps_call_t call;
    pps_chat_request_t request;
    pps_chat_reply_t reply;
    pps_worker_view_t *workers;
    char pinned[PPS_NAME_MAX + 1]; /**< "" without a session */
    pps_quality_held_t held;
    pps_answer_t *answer;
    pps_buf_t out; /**< bytes for the caller, when streamed */
    int ended;     /**< whole or failed; else the caller has left */
} pps_chat_t;

/** Endpoint callback; `user` is the router. */
int
pps_chat_handle(const struct _u_request *request, struct _u_response *response,
                void *user);

/** Answers as server-sent events; the chat belongs to the stream then. */
int
pps_chat_stream(pps_chat_t *chat, struct _u_response *response);

/** Makes sure that the bill outlives this host, before the last byte. */
int
pps_chat_bill(pps_chat_t *chat, const pps_answer_usage_t *usage);

/** Frees a completion; one that is not whole is cancelled. */
void
pps_chat_free(pps_chat_t *chat);

#endif
