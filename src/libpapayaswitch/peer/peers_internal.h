/**
 * @file peers_internal.h
 * @brief What the parts of pps_peers_t share.
 */
#ifndef PPS_PEER_PEERS_INTERNAL_H
#define PPS_PEER_PEERS_INTERNAL_H

#include "papayaswitch/peers.h"
#include "peer/peer.h"
#include "timer.h"

/** A link that brings no whole frame for so long is closed. */
#define PPS_PEERS_IDLE_TIMEOUT_US (3000 * PPS_US_PER_MS)
/** Time for the handshake of a link that the other side dialled. */
#define PPS_PEERS_HANDSHAKE_TIMEOUT_US (1000 * PPS_US_PER_MS)
/** Pause between two looks at all hosts. */
#define PPS_PEERS_TICK_INTERVAL_US (50 * PPS_US_PER_MS)
/** Links taken from others that have not passed the handshake. */
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
    pps_peer_t *by_id;          /**< uthash */
    struct cds_list_head links; /**< of pps_peer_link_t */
    size_t pending;             /**< links that wait for the handshake */
    size_t handles;             /**< handles that are not closed yet */
    int closing;
    void (*closed)(void *user);
    void *closed_user;
};

/** Operations of all links; the user is the pps_peers_t. */
extern const pps_peer_link_ops_t pps_peers_link_ops;

/** Takes connections from the listening socket. */
void
pps_peers_on_connection(uv_stream_t *server, int status);

/** Looks at all hosts: dials, pings, gives silent links up. */
void
pps_peers_on_tick(int64_t now_us, void *user);

/** Frees the peers once the last handle is closed. */
void
pps_peers_on_handle_closed(pps_peers_t *peers);

/** Closes a link and takes it from its host. */
void
pps_peers_drop_link(pps_peers_t *peers, pps_peer_link_t *link);

/** The entry of a host, or NULL. */
pps_peer_t *
pps_peers_find(const pps_peers_t *peers, const char *id);

/** Adds an entry of a host. */
int
pps_peers_add(pps_peers_t *peers, pps_peer_t **out, const char *id);

#endif
