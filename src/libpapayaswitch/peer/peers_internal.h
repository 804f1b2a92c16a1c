/**
 * @file peers_internal.h
 * @brief Declarations shared by peers.c and peers_links.c.
 */
#ifndef PPS_PEER_PEERS_INTERNAL_H
#define PPS_PEER_PEERS_INTERNAL_H

#include "papayaswitch/peers.h"
#include "peer/peer.h"
#include "timer.h"

/** Time without a frame that closes a ready link, in microseconds. */
#define PPS_PEERS_IDLE_TIMEOUT_US (3000 * PPS_US_PER_MS)
/** Time without a frame that aborts a handshake, in microseconds. */
#define PPS_PEERS_HANDSHAKE_TIMEOUT_US (1000 * PPS_US_PER_MS)
/** Interval of pps_peers_on_tick(), in microseconds. */
#define PPS_PEERS_TICK_INTERVAL_US (50 * PPS_US_PER_MS)
/** Number of pending handshakes above which inbound connections are closed. */
#define PPS_PEERS_PENDING_MAX 1024

struct pps_peers {
    pps_peer_link_config_t config;
    const pps_peers_callbacks_t *callbacks;
    void *user;
    pps_timers_t *timers;
    pps_timer_t tick;
    uv_tcp_t listener;
    uint16_t port;
    pps_rng_t rng;
    pps_peers_status_t status;
    pps_peer_t *by_id;          /**< uthash of all other hosts */
    struct cds_list_head links; /**< list of pps_peer_link_t */
    size_t pending; /**< links in the handshake, recounted each tick */
    size_t handles; /**< open libuv handles: listener and links */
    int closing;
    void (*closed)(void *user);
    void *closed_user;
};

/** Callbacks of all links; `user` is the pps_peers_t. */
extern const pps_peer_link_ops_t pps_peers_link_ops;

/** Accepts a connection from the listening socket, and closes it at once above
 * PPS_PEERS_PENDING_MAX. */
void
pps_peers_on_connection(uv_stream_t *server, int status);

/** Dials and pings the hosts, drops silent links, updates suspicion and frees
 * the entries of unlisted hosts without links. */
void
pps_peers_on_tick(int64_t now_us, void *user);

/** Counts a closed handle; the last one frees the peers on shutdown. */
void
pps_peers_on_handle_closed(pps_peers_t *peers);

/** Closes a link and detaches it from its host. */
void
pps_peers_drop_link(pps_peers_t *peers, pps_peer_link_t *link);

/** Finds the entry of a host. @return the entry or NULL */
pps_peer_t *
pps_peers_find(const pps_peers_t *peers, const char *id);

/** Adds an entry for a host. @return 0 or PPS_ENOMEM */
int
pps_peers_add(pps_peers_t *peers, pps_peer_t **out, const char *id);

#endif
