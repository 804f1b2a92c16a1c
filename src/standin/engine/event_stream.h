/**
 * @file event_stream.h
 * @brief Sends a run's tokens as server-sent events.
 */
#ifndef STANDIN_EVENT_STREAM_H
#define STANDIN_EVENT_STREAM_H

#include "engine.h"
#include "fault_plan.h"

/** Waits until the run has generated the tokens below index `end` or has
 * ended; sets `produced` to the index of its next token.
 * @return the run's state; RUN_CANCELLED if the server stops */
run_state_t
event_stream_wait(engine_t *engine, run_t *run, uint64_t end,
                  uint64_t *produced);

/** Streams the run's events as the response and finally releases the run. */
int
event_stream_reply(engine_t *engine, run_t *run, const fault_plan_t *plan,
                   struct _u_response *response);

#endif
