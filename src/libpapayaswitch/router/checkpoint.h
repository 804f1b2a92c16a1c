/**
 * @file checkpoint.h
 * @brief Appends checkpoints of the config stream before its records expire.
 */
#ifndef PPS_ROUTER_CHECKPOINT_H
#define PPS_ROUTER_CHECKPOINT_H

#include "router_state.h"

/** Appends a checkpoint if due and it is this host's turn. Control thread. */
void
pps_checkpoint_tick(pps_router_t *router, int64_t now_us);

#endif
