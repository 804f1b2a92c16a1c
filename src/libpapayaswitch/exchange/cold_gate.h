/**
 * @file cold_gate.h
 * @brief Keeps this host to its share of the requests that cold workers take,
 * and notes what shows that workers are cold.
 */
#ifndef PPS_EXCHANGE_COLD_GATE_H
#define PPS_EXCHANGE_COLD_GATE_H

#include "worker_gate.h"

/** Gate: this host's share of a cold worker. */
extern const pps_worker_gate_t pps_gate_cold;

/** Notes what an answer of the worker says. Not for answers of another worker
 * at its address. @param sent_us when the request was sent */
void
pps_cold_gate_note_reply(pps_dispatcher_t *dispatcher,
                         pps_pool_worker_t *worker,
                         const pps_worker_reply_t *reply, int64_t sent_us);

/** Notes that the worker refused a connection: it may have restarted before
 * its new record has come. */
void
pps_cold_gate_note_refused(pps_dispatcher_t *dispatcher,
                           pps_pool_worker_t *worker);

/** Notes that the worker is probably cold from now on for the usual time,
 * since the evacuation of its failure domain has ended. */
void
pps_cold_gate_expect(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker);

/** Notes how many hosts are known, and logs which workers have become cold and
 * which no longer are, once a second. Call it more often than that. Does
 * nothing if no upstream has cold workers. */
void
pps_cold_gate_step(pps_dispatcher_t *dispatcher);

#endif
