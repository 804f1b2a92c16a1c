/**
 * @file peer.h
 * @brief State of another host: its links, dial state and last report.
 */
#ifndef PPS_PEER_PEER_H
#define PPS_PEER_PEER_H

#include "papayaswitch/host.h"
#include "peer/dial.h"
#include "peer/link.h"

#include <uthash.h>

/** Interval between pings, in microseconds. */
#define PPS_PEER_PING_INTERVAL_US (250 * PPS_US_PER_MS)

/** Another host, listed or not. */
typedef struct {
    UT_hash_handle hh;
    pps_host_t host;
    int listed;                /**< whether the platform's list has it */
    pps_peer_link_t *outbound; /**< link that this host dialed, or NULL */
    pps_peer_link_t *inbound;  /**< link that the other host dialed, or NULL */
    pps_dial_t dial;
    int64_t ping_due_us; /**< earliest time of the next ping */
    pps_host_report_t report;
} pps_peer_t;

/** Creates an entry without links or a report. @return 0 or PPS_ENOMEM */
int
pps_peer_new(pps_peer_t **out, const char *id, int64_t now_us);

/** Returns a ready link, the outbound one first, or NULL. */
pps_peer_link_t *
pps_peer_select_link(const pps_peer_t *peer);

/** Sends a ping if one is due and a link is ready. */
void
pps_peer_ping(pps_peer_t *peer, int64_t now_us);

/**
 * Updates the report and the dial state from a pong.
 * @return 0, or PPS_ECORRUPT if it is malformed, if it echoes a time
 *         outside the lifetime of the link or has another incarnation
 */
int
pps_peer_receive_pong(pps_peer_t *peer, const pps_peer_link_t *link,
                      const pps_frame_t *frame, int64_t now_us);

/** Updates `report.suspected`. @return 1 if it changed, otherwise 0 */
int
pps_peer_update_suspicion(pps_peer_t *peer, int64_t now_us);

/** Detaches a closing link; an outbound one ends the dial attempt. */
void
pps_peer_detach_link(pps_peer_t *peer, const pps_peer_link_t *link,
                     int64_t now_us, pps_rng_t *rng);

#endif
