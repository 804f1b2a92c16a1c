/**
 * @file exchange_flow.h
 * @brief Stops to read a stream from its worker while the caller is slower.
 *
 * While it is stopped, the worker's silence means nothing: it is neither asked
 * again nor judged. The request's deadline holds.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_FLOW_H
#define PPS_EXCHANGE_EXCHANGE_FLOW_H

#include "exchange.h"

/** Stops to read the current attempt's answer if too much of it waits for the
 * caller. */
void
pps_exchange_check_flow(pps_exchange_t *exchange);

/** Goes on to read, as the caller has read on. */
void
pps_exchange_on_caller_drained(pps_exchange_t *exchange);

#endif
