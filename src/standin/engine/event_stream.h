/**
 * @file event_stream.h
 * @brief Sends a run's tokens as server-sent events.
 */
#ifndef STANDIN_EVENT_STREAM_H
#define STANDIN_EVENT_STREAM_H

#include "engine.h"
#include "fault_plan.h"

/** Waits until the run has produced `wanted` tokens or has ended; the number
 * that it has produced goes to `produced`. @return the run's state */
run_state_t
event_stream_wait(engine_t *engine, run_t *run, uint64_t wanted,
                  uint64_t *produced);

/** Makes the answer a stream of the run's events; takes the run over. */
int
event_stream_reply(engine_t *engine, run_t *run, const fault_plan_t *plan,
                   struct _u_response *response);

#endif
