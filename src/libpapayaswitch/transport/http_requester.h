/**
 * @file http_requester.h
 * @brief Sends one HTTP call at a time over a persistent connection.
 */
#ifndef PPS_TRANSPORT_HTTP_REQUESTER_H
#define PPS_TRANSPORT_HTTP_REQUESTER_H

#include "http_channel.h"

/** A client of one server with at most one connection. */
typedef struct pps_http_requester pps_http_requester_t;

/**
 * Reports the end of a call; may start the next one.
 * @param error 0; PPS_EUNAVAILABLE if no complete response arrived, or
 *        PPS_ELIMIT if its body is too large: the server may have executed the
 *        call
 * @param status 0 if no head arrived
 * @param body valid during the callback; may be incomplete after an error
 */
typedef void (*pps_http_requester_done_fn)(void *user, int error,
                                           unsigned int status,
                                           const char *body, size_t size);

/** Receives the head of each response, before its body and `done`. */
typedef void (*pps_http_requester_head_fn)(void *user,
                                           const pps_http_reply_t *reply);

/** Creates a requester. @param address IP:PORT @return 0 or PPS_ENOMEM */
int
pps_http_requester_new(pps_http_requester_t **out, pps_reactor_t *reactor,
                       const char *address);

/** Changes the server address; the requester must not be busy. */
void
pps_http_requester_set_address(pps_http_requester_t *requester,
                               const char *address);

/** Sets who receives the heads of responses, with its own `user`; NULL: no
 * one. */
void
pps_http_requester_set_head_fn(pps_http_requester_t *requester,
                               pps_http_requester_head_fn on_head, void *user);

/** Sets header lines of all calls, each ending in CR LF; `fields` must outlive
 * the requester. */
void
pps_http_requester_set_fields(pps_http_requester_t *requester,
                              const char *fields);

/** Sets the maximum size of a response's body; at first there is none. A call
 * whose body is larger ends with PPS_ELIMIT. */
void
pps_http_requester_set_body_max(pps_http_requester_t *requester, size_t size);

/** Lets calls last longer than their limit while the response arrives: each
 * piece of its body moves the limit to `step_us` from then, up to `max_us`
 * after the call began. At first a call's limit is fixed. */
void
pps_http_requester_set_progress(pps_http_requester_t *requester,
                                int64_t step_us, int64_t max_us);

/** Checks whether a call is in progress. */
int
pps_http_requester_is_busy(const pps_http_requester_t *requester);

/** Starts a call; the requester must not be busy. `done` is called once, never
 * from within this function. @param path path and query @param body sent by
 * POST; NULL sends a GET @param timeout_us limit of the whole
 * call; see pps_http_requester_set_progress() */
void
pps_http_requester_call(pps_http_requester_t *requester, const char *path,
                        const pps_buf_t *body, int64_t timeout_us,
                        pps_http_requester_done_fn done, void *user);

#endif
