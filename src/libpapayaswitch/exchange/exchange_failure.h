/** @file exchange_failure.h @brief What follows when an attempt fails. */
#ifndef PPS_EXCHANGE_EXCHANGE_FAILURE_H
#define PPS_EXCHANGE_EXCHANGE_FAILURE_H

#include "exchange.h"

/** Retries or ends the request after its attempt failed. */
void
pps_exchange_on_attempt_failed(pps_exchange_t *exchange,
                               pps_channel_failure_t failure);

#endif
