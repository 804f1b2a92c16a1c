/**
 * @file rating_link.h
 * @brief Ties ratings to the platform's rater and to the peers.
 */
#ifndef PPS_ROUTER_RATING_LINK_H
#define PPS_ROUTER_RATING_LINK_H

#include "router_state.h"

#include <jansson.h>

/** Kind of the message that carries counters of ratings. */
#define PPS_RATING_LINK_KIND (PPS_PEERS_KIND_FIRST + 32)

/** Counts the ratings that the rater told. Any thread. */
void
pps_rating_link_take(pps_router_t *router, const json_t *ratings);

/** Tells the peers what changed and tests the versions. Control thread. */
void
pps_rating_link_tick(pps_router_t *router);

/**
 * Takes a peer's message. Control thread.
 * @return 0, or PPS_ENOTFOUND when it carries no ratings
 */
int
pps_rating_link_receive(pps_router_t *router, uint32_t kind,
                        const void *payload, size_t size);

#endif
