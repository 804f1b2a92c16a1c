/**
 * @file exchange_poison.h
 * @brief Keeps requests from workers that would end under them, and collects
 * the evidence for that.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_POISON_H
#define PPS_EXCHANGE_EXCHANGE_POISON_H

#include "exchange.h"

/** Largest number of keys of a request. */
#define PPS_EXCHANGE_KEYS_MAX (PPS_CALL_PARTS_MAX + 1)

/** Copies the keys of a request under which workers may end.
 * @param out space for PPS_EXCHANGE_KEYS_MAX @return the number of keys */
size_t
pps_exchange_poison_keys(const pps_exchange_t *exchange, uint64_t *out);

/** Returns whether a key of the request blocks it, even if doubtful. */
int
pps_exchange_is_blocked(const pps_exchange_t *exchange);

/** Ends the request if it is known to end workers. @return whether it did */
int
pps_exchange_refuse_poison(pps_exchange_t *exchange);

/** Ends the trial of a request that was let through to show whether its key is
 * sound; does nothing for others. */
void
pps_exchange_end_trial(const pps_exchange_t *exchange);

/** Notes that bytes of the answer have arrived: one that goes on for some time
 * speaks for its request. */
void
pps_exchange_note_progress(pps_exchange_t *exchange);

/** Notes that a worker has given the whole answer. One that ended with its
 * connection soon after its begin may have been cut off, so it speaks for its
 * request only if the worker goes on. */
void
pps_exchange_note_whole(pps_exchange_t *exchange);

/** Returns whether a worker ended before under a request with the same key. */
int
pps_exchange_is_suspected(const pps_exchange_t *exchange);

/** Copies the keys that may be the cause if the worker of the current attempt
 * has ended: all at the begin of an answer, that of the request before it,
 * none once the answer has gone on.
 * @param out space for PPS_EXCHANGE_KEYS_MAX @return the number of keys */
size_t
pps_exchange_exposed_keys(const pps_exchange_t *exchange, uint64_t *out);

#endif
