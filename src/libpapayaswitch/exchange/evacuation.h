/**
 * @file evacuation.h
 * @brief Evacuations of failure domains: their workers get no new requests
 * until the operator takes the order back. Requests in progress finish.
 */
#ifndef PPS_EXCHANGE_EVACUATION_H
#define PPS_EXCHANGE_EVACUATION_H

#include "worker_gate.h"

/** Retry-After of requests whose workers are all evacuated. */
#define PPS_EVACUATED_RETRY_US INT64_C(1000000)

/** The worker's failure domain is evacuated. */
extern const pps_worker_gate_t pps_gate_evacuated;

/** Starts to evacuate a failure domain; without an effect if it is evacuated
 * already. A failure domain without workers is remembered all the same, since
 * a host that has just started knows no workers yet.
 * @param order its name, for the log
 * @return as pps_evacuated_domains_add() */
int
pps_evacuation_begin(pps_dispatcher_t *dispatcher, const char *failure_domain,
                     const char *order);

/** Ends the evacuation of a failure domain, and reports each of its workers to
 * `dispatcher->worker_back`.
 * @return 1, or 0 if it was not evacuated */
int
pps_evacuation_end(pps_dispatcher_t *dispatcher, const char *failure_domain);

#endif
