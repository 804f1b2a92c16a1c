/**
 * @file rating_link.h
 * @brief Passes ratings to the quality board, and counters between peers.
 */
#ifndef PPS_ROUTER_RATING_LINK_H
#define PPS_ROUTER_RATING_LINK_H

#include "router_state.h"

#include <jansson.h>

/** Message kind of rating counters. */
#define PPS_RATING_LINK_KIND (PPS_PEERS_KIND_FIRST + 32)

/** Counts ratings of the platform's rater. Any thread. */
void
pps_rating_link_add(pps_router_t *router, const json_t *ratings);

/** Broadcasts changed counters and tests the versions. Control thread. */
void
pps_rating_link_tick(pps_router_t *router);

/**
 * Processes a peer's message. Control thread.
 * @return 0; PPS_ENOTFOUND if the kind is not the one of ratings
 */
int
pps_rating_link_receive(pps_router_t *router, uint32_t kind,
                        const void *payload, size_t size);

#endif
