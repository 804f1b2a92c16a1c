/**
 * @file checkpoint.h
 * @brief Keeps a checkpoint of the config stream ahead of its expiry.
 */
#ifndef PPS_ROUTER_CHECKPOINT_H
#define PPS_ROUTER_CHECKPOINT_H

#include "router_state.h"

/** Appends one when it is due and this host's turn. Control thread. */
void
pps_checkpoint_tick(pps_router_t *router, int64_t now_us);

#endif
