/**
 * @file exchange_hedge.h
 * @brief A copy of a slow request at a second worker.
 *
 * The copy has its own connection and never writes to the caller. It takes the
 * place of the current attempt, whose connection is then closed, when its
 * first event (stream) or its whole answer (call) has arrived, or when the
 * current attempt has failed. It is dropped when the current attempt's first
 * event or whole answer arrives, or when the request ends.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_HEDGE_H
#define PPS_EXCHANGE_EXCHANGE_HEDGE_H

#include "exchange.h"

/** Adds a caller's request to what the upstream's copies are limited by, and
 * sends the copy of the slowest request that waited for that. */
void
pps_exchange_hedge_count_request(pps_exchange_t *exchange);

/** Begins to watch the wait of the first attempt, if the request may be
 * repeated. */
void
pps_exchange_hedge_watch(pps_exchange_t *exchange);

/** Notes that the answer of the current attempt has begun. */
void
pps_exchange_hedge_note_first_byte(pps_exchange_t *exchange);

/** Notes that the current attempt is dropped. */
void
pps_exchange_hedge_note_dropped(pps_exchange_t *exchange);

/** Returns whether there is a copy under way. */
int
pps_exchange_hedge_is_under_way(const pps_exchange_t *exchange);

/** Lets the copy under way take the place of the current attempt.
 * @return 0 if there is none */
int
pps_exchange_hedge_take_over(pps_exchange_t *exchange);

/** Drops the copy, if there is one, and sends none later. */
void
pps_exchange_hedge_cancel(pps_exchange_t *exchange);

/** Frees the state of the copy. */
void
pps_exchange_hedge_free(pps_exchange_t *exchange);

#endif
