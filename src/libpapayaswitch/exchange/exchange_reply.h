/**
 * @file exchange_reply.h
 * @brief Callbacks for a worker's reply. Each may end the request and free the
 * exchange.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_REPLY_H
#define PPS_EXCHANGE_EXCHANGE_REPLY_H

#include "exchange.h"

/** Decides by the head of a reply whether to forward it or to retry. @return
 * nonzero if the reply belongs to another request and has to be skipped */
int
pps_exchange_on_reply_head(pps_exchange_t *exchange,
                           const pps_http_reply_t *reply);

/** Forwards or buffers bytes of a reply's body. Ends the request if an event
 * or the buffered body is too large. */
void
pps_exchange_on_reply_body(pps_exchange_t *exchange, const char *data,
                           size_t size);

/** Completes the answer at the end of a reply. A stream that ends within an
 * event counts as a failed attempt. */
void
pps_exchange_on_reply_end(pps_exchange_t *exchange);

/** Retries or ends the request after its attempt failed. */
void
pps_exchange_on_attempt_failed(pps_exchange_t *exchange,
                               pps_channel_failure_t failure);

/** Restarts the timer that detects a silent worker, if the request may be
 * repeated. */
void
pps_exchange_restart_silence_timer(pps_exchange_t *exchange);

#endif
