/** @file exchange_reply.h @brief Callbacks for a worker's reply. */
#ifndef PPS_EXCHANGE_EXCHANGE_REPLY_H
#define PPS_EXCHANGE_EXCHANGE_REPLY_H

#include "exchange.h"

/** Starts the answer or retries, depending on the reply's head. @return
 * nonzero: the reply is skipped because it belongs to another request */
int
pps_exchange_on_reply_head(pps_exchange_t *exchange,
                           const pps_http_reply_t *reply);

/** Forwards or buffers body bytes; ends the request if they are too many. */
void
pps_exchange_on_reply_body(pps_exchange_t *exchange, const char *data,
                           size_t size);

/** Completes the answer at the end of a reply. A stream that ends within an
 * event counts as a failed attempt. */
void
pps_exchange_on_reply_end(pps_exchange_t *exchange);

/** Restarts the timer that detects a silent worker, if the request may be
 * repeated. */
void
pps_exchange_restart_silence_timer(pps_exchange_t *exchange);

#endif
