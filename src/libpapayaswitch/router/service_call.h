/**
 * @file service_call.h
 * @brief Endpoint of plain services, and replies from stored outcomes.
 */
#ifndef PPS_ROUTER_SERVICE_CALL_H
#define PPS_ROUTER_SERVICE_CALL_H

#include "call.h"

/** Serves `/v1/services/UPSTREAM/...`; `user` is the router. */
int
pps_service_call_handle(const struct _u_request *request,
                        struct _u_response *response, void *user);

/** Replies with the state of a key whose call this request does not run. */
void
pps_verdict_reply(const pps_call_t *call, struct _u_response *response,
                  const pps_verdict_t *verdict);

#endif
