/** @file exchange_refusal.h @brief Refuses requests that have no exchange. */
#ifndef PPS_EXCHANGE_EXCHANGE_REFUSAL_H
#define PPS_EXCHANGE_EXCHANGE_REFUSAL_H

#include "exchange.h"

/** Refuses a request that has no exchange, or whose exchange was freed.
 * @param retry_after_us negative: no retry time */
void
pps_dispatcher_refuse(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                      unsigned int status, int64_t retry_after_us);

#endif
