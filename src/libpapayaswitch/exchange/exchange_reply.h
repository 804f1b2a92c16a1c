/** @file exchange_reply.h @brief What comes back from a worker. */
#ifndef PPS_EXCHANGE_EXCHANGE_REPLY_H
#define PPS_EXCHANGE_EXCHANGE_REPLY_H

#include "exchange.h"

/** The head of a reply. @return nonzero to skip a reply to another request */
int
pps_exchange_on_reply_head(pps_exchange_t *exchange,
                           const pps_http_reply_t *reply);

/** A piece of a reply's body. */
void
pps_exchange_on_reply_body(pps_exchange_t *exchange, const char *data,
                           size_t size);

/** The reply is whole. */
void
pps_exchange_on_reply_end(pps_exchange_t *exchange);

/** The attempt's connection is lost. */
void
pps_exchange_on_attempt_failed(pps_exchange_t *exchange,
                               pps_channel_failure_t failure);

/** Starts the watch for silence of the worker anew. */
void
pps_exchange_restart_silence_timer(pps_exchange_t *exchange);

#endif
