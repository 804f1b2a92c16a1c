/**
 * @file exchange_notes.h
 * @brief Notes what workers say of themselves in replies: that they are
 * leaving, pauses and limits.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_NOTES_H
#define PPS_EXCHANGE_EXCHANGE_NOTES_H

#include "exchange.h"

/** Stops new calls to the attempt's worker, which says that it is leaving. Its
 * calls under way continue. */
void
pps_exchange_note_leaving(const pps_exchange_t *exchange);

/** Notes the limit that the attempt's worker names, or that it names none. */
void
pps_exchange_note_limit(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply);

/** Pauses the attempt's worker if the reply asks for it. */
void
pps_exchange_note_pause(pps_exchange_t *exchange,
                        const pps_worker_reply_t *reply);

#endif
