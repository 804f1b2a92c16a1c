/**
 * @file worker_permit.h
 * @brief Keeps this host to its part of the permits of brittle workers, and
 * tells other hosts of them.
 */
#ifndef PPS_EXCHANGE_WORKER_PERMIT_H
#define PPS_EXCHANGE_WORKER_PERMIT_H

#include "worker_gate.h"

/** Gate: this host's permits of a brittle worker. */
extern const pps_worker_gate_t pps_gate_permits;

/** Notes what the reply to the current attempt says, and tells other hosts
 * when it is due. */
void
pps_exchange_note_brittle(pps_exchange_t *exchange,
                          const pps_worker_reply_t *reply);

#endif
