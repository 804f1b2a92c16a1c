/**
 * @file exchange_unplaced.h
 * @brief Ends requests that can be sent to no worker now.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_UNPLACED_H
#define PPS_EXCHANGE_EXCHANGE_UNPLACED_H

#include "exchange.h"

/** Refuses a request whose route and workspace allow no region in common.
 * @return whether it was refused */
int
pps_exchange_refuse_homeless(pps_exchange_t *exchange);

/** Ends a request for which no worker was found, with the reason: all of its
 * workers are evacuated, or outside its homes, or they are full or unsuitable
 * at the moment. */
void
pps_exchange_refuse_unplaced(pps_exchange_t *exchange);

#endif
