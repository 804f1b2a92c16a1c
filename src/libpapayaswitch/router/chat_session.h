/**
 * @file chat_session.h
 * @brief Finds the version that a session is pinned to, or pins it.
 */
#ifndef PPS_ROUTER_CHAT_SESSION_H
#define PPS_ROUTER_CHAT_SESSION_H

#include "chat.h"

/**
 * Sets `chat->pinned`: by the log's pin, by the caller's token, else by a new
 * pin. Sets the error answer when none can be had; nothing was run then.
 * @return 0, or a negative number
 */
int
pps_chat_resolve_session(pps_chat_t *chat, const struct _u_request *request,
                         struct _u_response *response);

#endif
