/**
 * @file usage_link.h
 * @brief Exchanges the usage of workspaces in pools with the peers.
 */
#ifndef PPS_ROUTER_USAGE_LINK_H
#define PPS_ROUTER_USAGE_LINK_H

#include "router_state.h"

/** Message kind: length byte, name of the upstream, encoded usages. */
#define PPS_USAGE_LINK_KIND (PPS_PEERS_KIND_FIRST + 33)

/** Recomputes shares and broadcasts usages. Control thread. */
void
pps_usage_link_tick(pps_router_t *router, int64_t now_us);

/**
 * Processes a peer's message. Control thread.
 * @return 0; PPS_ENOTFOUND if the kind is not the one of usages
 */
int
pps_usage_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                       const void *payload, size_t size);

#endif
