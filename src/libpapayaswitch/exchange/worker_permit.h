/**
 * @file worker_permit.h
 * @brief Keeps this host to its part of the permits of brittle workers.
 */
#ifndef PPS_EXCHANGE_WORKER_PERMIT_H
#define PPS_EXCHANGE_WORKER_PERMIT_H

#include "worker_gate.h"

/** Gate: this host's permits of a brittle worker. */
extern const pps_worker_gate_t pps_gate_permits;

/** Gate: whether a brittle worker has room, whoever sends. */
extern const pps_worker_gate_t pps_gate_room;

/** Returns the permits of all hosts for the requests that they have sent since
 * they keep to permits. */
double
pps_worker_permit_total_for_new(const pps_dispatcher_t *dispatcher,
                                const pps_pool_worker_t *worker);

/** Returns whether this host has free permits for a request of a size. If it
 * has not, and the size is larger than 1, smaller ones leave them to it for a
 * time. */
int
pps_worker_permit_is_free(const pps_dispatcher_t *dispatcher,
                          pps_pool_worker_t *worker, unsigned int size);

/** Returns how long requests take at the worker. */
pps_service_time_t
pps_worker_permit_service_time(const pps_dispatcher_t *dispatcher,
                               const pps_pool_worker_t *worker);

/** Returns whether requests to the worker need a permit: it says that it is
 * brittle, or is taken for so by what other workers of its upstream say.
 * @param exchange a request to it; NULL: a call of another host */
int
pps_worker_permit_is_needed(const pps_dispatcher_t *dispatcher,
                            const pps_pool_worker_t *worker,
                            const pps_exchange_t *exchange);

/** Returns whether the worker is known to be brittle, by its own answers or
 * those of other workers of its upstream. Before any of them has answered,
 * requests need a permit, but nothing is known. */
int
pps_worker_permit_is_brittle(const pps_dispatcher_t *dispatcher,
                             const pps_pool_worker_t *worker,
                             const pps_exchange_t *exchange);

/** Returns what is known of the worker's upstream.
 * @param exchange a request to it, or NULL */
const pps_brittle_upstream_t *
pps_worker_permit_upstream(const pps_dispatcher_t *dispatcher,
                           const pps_pool_worker_t *worker,
                           const pps_exchange_t *exchange);

#endif
