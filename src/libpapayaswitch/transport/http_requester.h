/**
 * @file http_requester.h
 * @brief One call at a time to one server, over a kept connection.
 */
#ifndef PPS_TRANSPORT_HTTP_REQUESTER_H
#define PPS_TRANSPORT_HTTP_REQUESTER_H

#include "http_channel.h"

/** A requester. */
typedef struct pps_http_requester pps_http_requester_t;

/**
 * The call is over.
 * @param error 0, or PPS_EUNAVAILABLE: no answer came, what was asked may
 *        have been done
 */
typedef void (*pps_http_requester_done_fn)(void *user, int error,
                                           unsigned int status,
                                           const char *body, size_t size);

/** Makes a requester. @param address IP:PORT */
int
pps_http_requester_new(pps_http_requester_t **out, pps_reactor_t *reactor,
                       const char *address);

/** Leads the requester, which must not be busy, to another server. */
void
pps_http_requester_set_address(pps_http_requester_t *requester,
                               const char *address);

/** Whether a call is under way. */
int
pps_http_requester_is_busy(const pps_http_requester_t *requester);

/** Begins a call; `done` is always called, never from within this function.
 * @param path with its query @param body NULL: GET, else POST */
void
pps_http_requester_call(pps_http_requester_t *requester, const char *path,
                        const pps_buf_t *body, int64_t timeout_us,
                        pps_http_requester_done_fn done, void *user);

#endif
