/**
 * @file peer.h
 * @brief One other host: its links, the dialling and the last report.
 */
#ifndef PPS_PEER_PEER_H
#define PPS_PEER_PEER_H

#include "papayaswitch/host.h"
#include "peer/dial.h"
#include "peer/link.h"

#include <uthash.h>

/** Pause between two pings. */
#define PPS_PEER_PING_INTERVAL_US (250 * PPS_US_PER_MS)

/** Another host. */
typedef struct {
    UT_hash_handle hh;
    pps_host_t host;
    int listed;                /**< the platform's list names it */
    pps_peer_link_t *outbound; /**< or NULL */
    pps_peer_link_t *inbound;  /**< the other side dialled it; or NULL */
    pps_dial_t dial;
    int64_t ping_due_us;
    pps_host_report_t report;
} pps_peer_t;

/** Makes an entry that nothing has been heard of. */
int
pps_peer_new(pps_peer_t **out, const char *id, int64_t now_us);

/** The link to use, or NULL. */
pps_peer_link_t *
pps_peer_select_link(const pps_peer_t *peer);

/** Sends a ping when one is due and a link is up. */
void
pps_peer_ping(pps_peer_t *peer, int64_t now_us);

/**
 * Takes a pong.
 * @return 0, or PPS_ECORRUPT for one that answers no ping of ours
 */
int
pps_peer_receive_pong(pps_peer_t *peer, const pps_peer_link_t *link,
                      const pps_frame_t *frame, int64_t now_us);

/** Updates `report.suspected`. @return 1 when it changed */
int
pps_peer_update_suspicion(pps_peer_t *peer, int64_t now_us);

/** Forgets a link that is closing, and ends the attempt that it was. */
void
pps_peer_detach_link(pps_peer_t *peer, const pps_peer_link_t *link,
                     int64_t now_us, pps_rng_t *rng);

#endif
