/** @file answer_end.h @brief Tells whole answers from those that were cut off.
 */
#ifndef PPS_EXCHANGE_ANSWER_END_H
#define PPS_EXCHANGE_ANSWER_END_H

#include "exchange.h"

/** Returns whether an answer has ended before it was whole. One that ends with
 * its connection does so also when its worker ends. */
int
pps_exchange_is_cut_off(const pps_exchange_t *exchange);

#endif
