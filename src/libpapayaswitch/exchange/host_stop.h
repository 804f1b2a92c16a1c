/**
 * @file host_stop.h
 * @brief Which requests a host takes while it stops.
 *
 * A request that is still under way when the host has to end is cut off. One
 * that usually takes longer than the time that is left is refused before it is
 * passed on, so that its caller can try another host. Before a host has seen
 * such requests end, their route's target latency stands for their time.
 */
#ifndef PPS_EXCHANGE_HOST_STOP_H
#define PPS_EXCHANGE_HOST_STOP_H

#include "exchange.h"

/** Returns whether a request that is about to be sent can be expected to end
 * before this host stops. One that must not be repeated needs twice its usual
 * time, as its caller can't know whether it has run. */
int
pps_host_stop_leaves_time(const pps_exchange_t *exchange);

/** Notes how long a request took from its arrival to its whole answer. */
void
pps_host_stop_note_answer(const pps_exchange_t *exchange, int64_t elapsed_us);

#endif
