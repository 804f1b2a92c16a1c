/**
 * @file exchange_held.h
 * @brief Counts what an exchange holds of its worker's answer, and gives that
 * up when the host holds too much in all. See memory/byte_account.h.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_HELD_H
#define PPS_EXCHANGE_EXCHANGE_HELD_H

#include "exchange.h"

/** Largest answer that is held until it is whole. */
#define PPS_HELD_ANSWER_BYTES_MAX (8U << 20)

/** Counts the buffers of the current attempt. May end attempts of other
 * exchanges, whose requests are repeated or end soon after.
 * @return 0, or PPS_ELIMIT if this attempt has to end; PPS_ENOMEM */
int
pps_exchange_hold_answer(pps_exchange_t *exchange);

/** The same for the copy under way. */
int
pps_exchange_hold_copy(pps_exchange_t *exchange);

#endif
