/**
 * @file home_gate.h
 * @brief Keeps requests within the regions (homes) that their route and their
 * workspace name.
 *
 * Without known regions of failure domains (options.regions) nothing is
 * restricted. Else a failure domain without a region is outside all homes.
 */
#ifndef PPS_EXCHANGE_HOME_GATE_H
#define PPS_EXCHANGE_HOME_GATE_H

#include "worker_gate.h"

/** The worker's region is not allowed for the request. Says nothing of calls
 * of other hosts, which choose the workers themselves. */
extern const pps_worker_gate_t pps_gate_home;

/** Returns whether the route and the workspace allow no region in common. */
int
pps_home_gate_is_unsatisfiable(const pps_exchange_t *exchange);

/** Returns which hosts may get the request's body: those in its homes and in
 * this host's region. Valid as long as the exchange. */
pps_neighbour_filter_t
pps_home_gate_filter(const pps_exchange_t *exchange);

#endif
