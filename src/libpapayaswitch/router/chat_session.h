/**
 * @file chat_session.h
 * @brief Pins sessions to versions.
 */
#ifndef PPS_ROUTER_CHAT_SESSION_H
#define PPS_ROUTER_CHAT_SESSION_H

#include "chat.h"

/**
 * Sets `chat->pinned` from the journal, else from the caller's token, else
 * from a new pin in the log. Sets the error answer if all of them fail;
 * nothing was run then.
 * @return 0 or a negative code
 */
int
pps_chat_resolve_session(pps_chat_t *chat, const struct _u_request *request,
                         struct _u_response *response);

#endif
