/**
 * @file brittle_notes.h
 * @brief Notes which workers say that they are brittle, here or to other
 * hosts, and tells these.
 */
#ifndef PPS_EXCHANGE_BRITTLE_NOTES_H
#define PPS_EXCHANGE_BRITTLE_NOTES_H

#include "exchange.h"

/** Notes what the reply to the current attempt says, and tells other hosts
 * when it is due. */
void
pps_exchange_note_brittle(pps_exchange_t *exchange,
                          const pps_worker_reply_t *reply);

/** Notes what the reply to a call for another host says. That host tells the
 * others. @param sent_us when the call was sent */
void
pps_brittle_note_relayed(pps_dispatcher_t *dispatcher,
                         pps_pool_worker_t *worker,
                         const pps_worker_reply_t *reply, int64_t sent_us);

#endif
