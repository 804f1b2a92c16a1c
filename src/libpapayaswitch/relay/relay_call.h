/**
 * @file relay_call.h
 * @brief Calls a worker through a neighbour, another host that reaches it.
 */
#ifndef PPS_RELAY_RELAY_CALL_H
#define PPS_RELAY_RELAY_CALL_H

#include "transport/connect_probe.h"
#include "transport/http_channel.h"

/** A call under way. */
typedef struct pps_relay_call pps_relay_call_t;

/** The way that a call takes. */
typedef struct {
    const char *neighbour;     /**< IPv4:PORT of the neighbour's relay */
    const char *local_address; /**< IPv4 of this host, by which the neighbour
                                    knows it; NULL: any */
    uint64_t worker;           /**< digest of the worker's id */
    unsigned int slots; /**< of the neighbour's share of the worker that the
                             request takes; 0: it takes this host's */
} pps_relay_route_t;

/** Sends a request to a worker. The callbacks are those of a call on a
 * channel; `on_fail` with PPS_CHANNEL_NO_RELAY or PPS_CHANNEL_RELAY_DECLINED
 * says that the neighbour did not pass it on, and PPS_CHANNEL_REFUSED or
 * PPS_CHANNEL_UNANSWERED that it did not reach the worker. The call frees
 * itself after `on_end` or `on_fail`.
 * @return 0, PPS_EINVALID, PPS_ENOMEM or PPS_EIO; after an error no callback
 * follows */
int
pps_relay_call_new(pps_relay_call_t **out, pps_reactor_t *reactor,
                   const pps_relay_route_t *route, const void *text,
                   size_t size, const pps_channel_ops_t *ops, void *user);

/** Ends a call without a callback and frees it. The worker's connection ends
 * as well. */
void
pps_relay_call_close(pps_relay_call_t *call);

/** Stops to read the answer, until it is resumed. The neighbour stops to read
 * it from the worker when its buffer is full. */
void
pps_relay_call_pause(pps_relay_call_t *call);

/** Goes on to read. */
void
pps_relay_call_resume(pps_relay_call_t *call);

/** Asks a neighbour whether a worker takes connections, and reports it once.
 * PPS_PROBE_UNANSWERED also says that the neighbour gave no answer.
 * @return 0, PPS_EINVALID, PPS_ENOMEM or PPS_EIO; then nothing is reported */
int
pps_relay_probe_start(pps_reactor_t *reactor, const pps_relay_route_t *route,
                      int64_t timeout_us, pps_probe_fn done, void *user);

#endif
