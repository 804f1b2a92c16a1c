/**
 * @file brittle_step.h
 * @brief Counts the hosts that share brittle workers, and repeats to hosts of
 * older builds what is known of these.
 */
#ifndef PPS_EXCHANGE_BRITTLE_STEP_H
#define PPS_EXCHANGE_BRITTLE_STEP_H

#include "dispatcher.h"

/** Notes that a worker is new, or has started again: hosts of older builds
 * take it for one that is not brittle, unless they are told. */
void
pps_brittle_note_listed(pps_dispatcher_t *dispatcher, const char *id);

/** Notes how many hosts share the brittle workers, and repeats to hosts of
 * older builds what is known of them, when that is due. */
void
pps_brittle_step(pps_dispatcher_t *dispatcher);

#endif
