/** @file peers_links.c @brief Implements the link callbacks and the tick. */
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "peer/heartbeat.h"
#include "peer/peers_internal.h"

#include <stdlib.h>
#include <string.h>

void
pps_peers_drop_link(pps_peers_t *peers, pps_peer_link_t *link)
{
    pps_peer_t *peer;
    pps_peer_t *next;

    HASH_ITER (hh, peers->by_id, peer, next) {
        pps_peer_detach_link(peer, link, pps_clock_now_us(), &peers->rng);
    }
    pps_peer_link_close(link);
}

static void
notify_report(pps_peers_t *peers, const pps_peer_t *peer)
{
    if (peers->callbacks->report != NULL) {
        peers->callbacks->report(peers->user, &peer->report);
    }
}

static int
update_suspicion(pps_peer_t *peer, int64_t now_us)
{
    if (!pps_peer_update_suspicion(peer, now_us)) {
        return 0;
    }
    pps_event_record("host_suspicion",
                     PPS_FIELDS(PPS_STR("peer", peer->host.id),
                                PPS_INT("suspected", peer->report.suspected)));
    return 1;
}

static void
adopt_inbound_link(pps_peers_t *peers, pps_peer_link_t *link)
{
    pps_peer_t *peer = pps_peers_find(peers, link->remote.id);

    if (peer == NULL && pps_peers_add(peers, &peer, link->remote.id) != 0) {
        pps_peers_drop_link(peers, link);
        return;
    }
    if (peer->inbound != NULL) {
        pps_peers_drop_link(peers, peer->inbound);
    }
    peer->inbound = link;
    pps_dial_retry_now(&peer->dial, pps_clock_now_us());
}

static void
on_ready(pps_peer_link_t *link, void *user)
{
    pps_peers_t *peers = user;
    pps_peer_t *peer;

    if (!link->initiator) {
        adopt_inbound_link(peers, link);
    }
    peer = pps_peers_find(peers, link->remote.id);
    if (peer != NULL && link->state == PPS_LINK_READY) {
        peer->ping_due_us = 0;
        pps_peer_ping(peer, pps_clock_now_us());
    }
}

static uint32_t
count_reachable(const pps_peers_t *peers, int64_t now_us)
{
    pps_peer_t *peer;
    pps_peer_t *next;
    uint32_t count = 0;

    HASH_ITER (hh, peers->by_id, peer, next) {
        if (peer->report.pong_received_us != PPS_TIME_NONE &&
            now_us - peer->report.pong_received_us <
                PPS_DIAL_PONG_TIMEOUT_US) {
            count++;
        }
    }
    return count;
}

static void
answer_ping(pps_peers_t *peers, pps_peer_link_t *link, int64_t echo_us)
{
    int64_t now = pps_clock_now_us();
    int64_t evidence = peers->status.evidence_us;
    pps_buf_t payload = PPS_BUF_INIT;
    pps_host_status_t status = {
        .incarnation = peers->config.incarnation,
        .revision = peers->status.revision,
        .next_offset = peers->status.next_offset,
        .evidence_age_us =
            evidence == PPS_TIME_NONE ? PPS_TIME_NONE : now - evidence,
        .synced = peers->status.synced,
        .leaving = peers->status.leaving,
        .reachable_count = count_reachable(peers, now),
    };

    if (pps_pong_encode(&payload, echo_us, &status) == 0) {
        pps_peer_link_send(link, PPS_FRAME_PONG, payload.data, payload.size);
    }
    pps_buf_clear(&payload);
}

static void
receive_pong(pps_peers_t *peers, pps_peer_link_t *link,
             const pps_frame_t *frame)
{
    pps_peer_t *peer = pps_peers_find(peers, link->remote.id);
    int64_t now = pps_clock_now_us();

    if (peer == NULL) {
        return;
    }
    if (pps_peer_receive_pong(peer, link, frame, now) != 0) {
        pps_counter_add(PPS_COUNTER_PEER_FRAMES_MALFORMED, 1);
        pps_peers_drop_link(peers, link);
        return;
    }
    update_suspicion(peer, now);
    notify_report(peers, peer);
}

static void
deliver_message(pps_peers_t *peers, const pps_peer_link_t *link,
                const pps_frame_t *frame)
{
    if (frame->kind < PPS_PEERS_KIND_FIRST ||
        peers->callbacks->message(
            peers->user, link->remote.id, link->remote.incarnation,
            frame->kind, frame->payload, frame->size) == PPS_ENOTFOUND) {
        pps_counter_add(PPS_COUNTER_PEER_FRAMES_UNKNOWN, 1);
    }
}

static void
on_frame(pps_peer_link_t *link, const pps_frame_t *frame, void *user)
{
    pps_peers_t *peers = user;
    int64_t echo_us;

    switch (frame->kind) {
    case PPS_FRAME_PING:
        if (pps_ping_decode(&echo_us, frame->payload, frame->size) != 0) {
            pps_counter_add(PPS_COUNTER_PEER_FRAMES_MALFORMED, 1);
            pps_peers_drop_link(peers, link);
            return;
        }
        answer_ping(peers, link, echo_us);
        break;
    case PPS_FRAME_PONG:
        receive_pong(peers, link, frame);
        break;
    default:
        deliver_message(peers, link, frame);
        break;
    }
}

static void
on_closed(pps_peer_link_t *link, void *user)
{
    pps_peers_t *peers = user;

    pps_peers_drop_link(peers, link);
    cds_list_del(&link->node);
    pps_peers_on_handle_closed(peers);
}

const pps_peer_link_ops_t pps_peers_link_ops = {on_ready, on_frame, on_closed};

static pps_peer_link_t *
new_link(pps_peers_t *peers)
{
    pps_peer_link_t *link;

    if (pps_peer_link_new(&link, &peers->config, &pps_peers_link_ops, peers) !=
        0) {
        return NULL;
    }
    cds_list_add_tail(&link->node, &peers->links);
    peers->handles++;
    return link;
}

void
pps_peers_on_connection(uv_stream_t *server, int status)
{
    pps_peers_t *peers = server->data;
    pps_peer_link_t *link;

    if (status != 0 || peers->closing) {
        return;
    }
    link = new_link(peers);
    if (link == NULL) {
        return;
    }
    pps_peer_link_accept(link, server);
    if (peers->pending++ >= PPS_PEERS_PENDING_MAX) {
        pps_peers_drop_link(peers, link);
    }
}

static void
close_idle_links(pps_peers_t *peers, int64_t now_us)
{
    pps_peer_link_t *link;
    pps_peer_link_t *next;

    peers->pending = 0;
    cds_list_for_each_entry_safe (link, next, &peers->links, node) {
        int64_t limit = link->state == PPS_LINK_READY
                            ? PPS_PEERS_IDLE_TIMEOUT_US
                            : PPS_PEERS_HANDSHAKE_TIMEOUT_US;

        if (link->state < PPS_LINK_READY) {
            peers->pending++;
        }
        if (now_us - link->received_us >= limit &&
            link->state != PPS_LINK_CLOSING) {
            pps_counter_add(PPS_COUNTER_PEER_LINKS_GIVEN_UP, 1);
            pps_peers_drop_link(peers, link);
        }
    }
}

static void
dial(pps_peers_t *peers, pps_peer_t *peer, int64_t now_us)
{
    pps_peer_link_t *link = new_link(peers);

    if (link == NULL) {
        return;
    }
    pps_dial_begin(&peer->dial, now_us);
    peer->outbound = link;
    pps_peer_link_connect(link, &peer->host);
}

static void
update_peer(pps_peers_t *peers, pps_peer_t *peer, int64_t now_us)
{
    if (peer->outbound != NULL &&
        pps_dial_has_timed_out(&peer->dial, now_us)) {
        pps_counter_add(PPS_COUNTER_PEER_LINKS_GIVEN_UP, 1);
        pps_peers_drop_link(peers, peer->outbound);
    }
    if (peer->listed && peer->outbound == NULL &&
        pps_dial_is_due(&peer->dial, now_us)) {
        dial(peers, peer, now_us);
    }
    pps_peer_ping(peer, now_us);
    if (peer->listed && update_suspicion(peer, now_us)) {
        notify_report(peers, peer);
    }
}

static int
is_removable(const pps_peer_t *peer)
{
    return !peer->listed && peer->outbound == NULL && peer->inbound == NULL;
}

void
pps_peers_on_tick(int64_t now_us, void *user)
{
    pps_peers_t *peers = user;
    pps_peer_t *peer;
    pps_peer_t *next;

    close_idle_links(peers, now_us);
    HASH_ITER (hh, peers->by_id, peer, next) {
        if (is_removable(peer)) {
            HASH_DEL(peers->by_id, peer);
            free(peer);
            continue;
        }
        update_peer(peers, peer, now_us);
    }
}
