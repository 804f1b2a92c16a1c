/**
 * @file usage_link.h
 * @brief Tells the peers what workspaces use here, and takes their word.
 */
#ifndef PPS_ROUTER_USAGE_LINK_H
#define PPS_ROUTER_USAGE_LINK_H

#include "router_state.h"

/** Kind of the message: a length byte, the upstream's name, usages. */
#define PPS_USAGE_LINK_KIND (PPS_PEERS_KIND_FIRST + 33)

/** Recomputes shares and tells usages. Control thread. */
void
pps_usage_link_tick(pps_router_t *router, int64_t now_us);

/**
 * Takes a peer's message. Control thread.
 * @return 0, or PPS_ENOTFOUND when it carries no usage
 */
int
pps_usage_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                       const void *payload, size_t size);

#endif
