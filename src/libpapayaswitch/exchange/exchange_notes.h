/**
 * @file exchange_notes.h
 * @brief Notes what workers say of themselves in replies: that they are
 * leaving, pauses and limits.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_NOTES_H
#define PPS_EXCHANGE_EXCHANGE_NOTES_H

#include "exchange.h"

/** Stops new calls to a worker that says in an answer that it is leaving. Its
 * calls under way continue. @param start_ms of the worker that answered */
void
pps_dispatcher_note_leaving(pps_dispatcher_t *dispatcher,
                            pps_pool_worker_t *worker, int64_t start_ms);

/** Pauses a worker if its reply asks for it. */
void
pps_dispatcher_note_pause(pps_dispatcher_t *dispatcher,
                          pps_pool_worker_t *worker,
                          const pps_worker_reply_t *reply);

/** Notes the limit that the attempt's worker names, or that it names none. */
void
pps_exchange_note_limit(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply);

/** Notes what the reply to the attempt says about its worker's limit, permits,
 * coldness and pause. */
void
pps_exchange_note_gates(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply);

#endif
