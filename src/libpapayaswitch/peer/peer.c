/** @file peer.c @brief Tracks the links and the heartbeat of one host. */
#include "peer/peer.h"

#include "counters.h"
#include "papayaswitch/errors.h"
#include "peer/heartbeat.h"

#include <stdlib.h>
#include <string.h>

int
pps_peer_new(pps_peer_t **out, const char *id, int64_t now_us)
{
    pps_peer_t *peer = calloc(1, sizeof(*peer));

    if (peer == NULL) {
        return pps_error_set(PPS_ENOMEM, "peer: out of memory");
    }
    strncpy(peer->host.id, id, PPS_HOST_ID_MAX);
    memcpy(peer->report.id, peer->host.id, sizeof(peer->report.id));
    peer->report.echo_us = PPS_TIME_NONE;
    peer->report.pong_received_us = PPS_TIME_NONE;
    peer->report.status.evidence_age_us = PPS_TIME_NONE;
    pps_dial_init(&peer->dial, now_us);
    *out = peer;
    return PPS_OK;
}

static int
is_ready(const pps_peer_link_t *link)
{
    return link != NULL && link->state == PPS_LINK_READY;
}

pps_peer_link_t *
pps_peer_select_link(const pps_peer_t *peer)
{
    if (is_ready(peer->outbound)) {
        return peer->outbound;
    }
    return is_ready(peer->inbound) ? peer->inbound : NULL;
}

void
pps_peer_ping(pps_peer_t *peer, int64_t now_us)
{
    pps_peer_link_t *link = pps_peer_select_link(peer);
    pps_buf_t payload = PPS_BUF_INIT;

    if (link == NULL || now_us < peer->ping_due_us) {
        return;
    }
    peer->ping_due_us = now_us + PPS_PEER_PING_INTERVAL_US;
    if (pps_ping_encode(&payload, now_us) == 0) {
        pps_peer_link_send(link, PPS_FRAME_PING, payload.data, payload.size);
    }
    pps_buf_clear(&payload);
}

int
pps_peer_receive_pong(pps_peer_t *peer, const pps_peer_link_t *link,
                      const pps_frame_t *frame, int64_t now_us)
{
    pps_host_status_t status;
    int64_t echo_us;
    int error =
        pps_pong_decode(&echo_us, &status, frame->payload, frame->size);

    if (error != 0) {
        return error;
    }
    if (echo_us < link->opened_us || echo_us > now_us ||
        status.incarnation != link->remote.incarnation) {
        return pps_error_set(PPS_ECORRUPT,
                             "pong: does not match a ping on this link");
    }
    pps_dial_record_pong(&peer->dial, now_us, link == peer->outbound);
    if (echo_us > peer->report.echo_us) {
        peer->report.echo_us = echo_us;
        peer->report.pong_received_us = now_us;
        peer->report.status = status;
    }
    return PPS_OK;
}

int
pps_peer_update_suspicion(pps_peer_t *peer, int64_t now_us)
{
    int suspected = pps_dial_is_suspected(&peer->dial, now_us);

    if (suspected == peer->report.suspected) {
        return 0;
    }
    peer->report.suspected = suspected;
    if (suspected) {
        pps_counter_add(PPS_COUNTER_PEER_SUSPICIONS, 1);
    }
    return 1;
}

void
pps_peer_detach_link(pps_peer_t *peer, const pps_peer_link_t *link,
                     int64_t now_us, pps_rng_t *rng)
{
    if (peer->inbound == link) {
        peer->inbound = NULL;
    }
    if (peer->outbound == link) {
        peer->outbound = NULL;
        pps_dial_end(&peer->dial, now_us, rng);
    }
}
