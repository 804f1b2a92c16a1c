/**
 * @file state_gates.h
 * @brief Gates of a worker's own state: leaving, full, paused, avoided.
 */
#ifndef PPS_EXCHANGE_STATE_GATES_H
#define PPS_EXCHANGE_STATE_GATES_H

#include "worker_gate.h"

/** The worker is leaving. */
extern const pps_worker_gate_t pps_gate_leaving;

/** It rejected a request for lack of room a moment ago. Says nothing of calls
 * of other hosts, which know that themselves. */
extern const pps_worker_gate_t pps_gate_full;

/** It asked for a pause. */
extern const pps_worker_gate_t pps_gate_paused;

/** It was not reached, or another worker answered at its address. Says nothing
 * of calls of other hosts. */
extern const pps_worker_gate_t pps_gate_avoided;

#endif
