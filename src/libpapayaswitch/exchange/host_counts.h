/**
 * @file host_counts.h
 * @brief Notes how many hosts can send to the workers of a failure domain.
 */
#ifndef PPS_EXCHANGE_HOST_COUNTS_H
#define PPS_EXCHANGE_HOST_COUNTS_H

#include "dispatcher.h"

/** Notes the hosts that can send to a worker, once for its failure domain in
 * each iteration of the event loop. */
void
pps_host_counts_note(const pps_dispatcher_t *dispatcher,
                     pps_known_hosts_t *known,
                     const pps_pool_worker_t *worker);

#endif
