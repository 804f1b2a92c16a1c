/**
 * @file exchange_evidence.h
 * @brief Counts attempts as evidence on the versions of an upstream. Each
 * attempt that a worker may have run is counted once; one that waits too long
 * is counted as slow before its answer comes.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_EVIDENCE_H
#define PPS_EXCHANGE_EXCHANGE_EVIDENCE_H

#include "exchange.h"

/** Begins the attempt that is about to be sent. */
void
pps_exchange_evidence_begin(pps_exchange_t *exchange);

/** Notes the load that the attempt's worker reports in its reply. */
void
pps_exchange_evidence_note_load(pps_exchange_t *exchange,
                                const pps_worker_reply_t *reply);

/** Counts the head of a successful answer. */
void
pps_exchange_evidence_count_head(pps_exchange_t *exchange);

/** Counts the end of a successful answer. */
void
pps_exchange_evidence_count_end(pps_exchange_t *exchange);

/** Counts an error, a broken answer or the silence of the worker. */
void
pps_exchange_evidence_count_failure(pps_exchange_t *exchange);

/** Counts the attempts of an upstream that have waited too long by now. */
void
pps_exchange_evidence_count_waiting(pps_dispatcher_t *dispatcher,
                                    pps_upstream_state_t *state);

#endif
