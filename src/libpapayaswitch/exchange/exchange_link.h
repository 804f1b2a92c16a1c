/**
 * @file exchange_link.h
 * @brief The connection of an attempt to its worker, directly or through a
 * neighbour.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_LINK_H
#define PPS_EXCHANGE_EXCHANGE_LINK_H

#include "exchange.h"

/** Chooses the host through which the attempt goes, if this one does not reach
 * its worker, or may not send to it, and there is one. */
void
pps_exchange_choose_neighbour(pps_exchange_t *exchange);

/** Counts a call to the attempt's worker, and takes this host's share of it
 * unless a neighbour's is used. */
void
pps_exchange_begin_call(pps_exchange_t *exchange);

/** Sends a request to the attempt's worker. @return 0 or an error; then no
 * callback follows */
int
pps_exchange_open_link(pps_exchange_t *exchange, const pps_buf_t *text,
                       const pps_channel_ops_t *ops);

/** Stops to read the answer, until it is resumed. */
void
pps_exchange_pause_link(pps_exchange_t *exchange);

/** Goes on to read. */
void
pps_exchange_resume_link(pps_exchange_t *exchange);

/** Ends the connection, if there is one. */
void
pps_exchange_close_link(pps_exchange_t *exchange);

/** Returns whether another host may be asked to send the request with its
 * share of a worker's limit or permits. */
int
pps_exchange_may_borrow(const pps_exchange_t *exchange);

#endif
