/**
 * @file permit_size.h
 * @brief How many permits of a brittle worker requests take, and how small
 * and large ones share them. See pool/request_size.h and pool/size_balance.h.
 */
#ifndef PPS_EXCHANGE_PERMIT_SIZE_H
#define PPS_EXCHANGE_PERMIT_SIZE_H

#include "exchange.h"

/** Returns the size that the permits of a worker are divided for. */
unsigned int
pps_permit_size_largest(const pps_dispatcher_t *dispatcher,
                        const pps_pool_worker_t *worker);

/** Returns the permits that a request takes at the worker. */
unsigned int
pps_permit_size_of(const pps_exchange_t *exchange,
                   const pps_pool_worker_t *worker);

/** Notes the size of a caller's request. */
void
pps_permit_size_count_demand(pps_exchange_t *exchange);

/** Returns whether requests of one slot leave this host's permits to a larger
 * one that had too few of them lately. */
int
pps_permit_size_is_left_to_large(const pps_dispatcher_t *dispatcher,
                                 const pps_pool_worker_t *worker);

#endif
