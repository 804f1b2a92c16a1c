/** @file gossip.c @brief Sends and receives gossip datagrams. */
#include "gossip_state.h"

#include "clock.h"
#include "gossip_codec.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "rng.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Interval between state datagrams to a peer that is not live. */
#define PROBE_INTERVAL_US (2 * PPS_US_PER_S)
/** Defaults of pps_gossip_set_period() and pps_gossip_set_read_age_max(). */
#define PERIOD_US (1 * PPS_US_PER_S)
#define READ_AGE_MAX_US (1300 * PPS_US_PER_MS)

/** Maximum number of peers that one notice is sent to. */
#define NOTICE_PEERS_MAX 24
/** Largest encoded record that is sent. */
#define RECORD_BYTES_MAX 1200
/** A timer that is later than this shows that the host was frozen. */
#define FREEZE_MIN_US (1 * PPS_US_PER_S)
#define DATAGRAM_BYTES_MAX 4096
#define PEERS_MAX 2048

static char datagram[DATAGRAM_BYTES_MAX];

pps_gossip_peer_t *
pps_gossip_find_peer(pps_gossip_t *gossip, const char *address)
{
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (strcmp(peer->state.address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

pps_gossip_peer_t *
pps_gossip_add_peer(pps_gossip_t *gossip, const char *address)
{
    pps_gossip_peer_t *peer = NULL;

    if (gossip->peer_count < PEERS_MAX) {
        peer = calloc(1, sizeof(*peer));
    }
    if (peer != NULL) {
        snprintf(peer->state.address, sizeof(peer->state.address), "%s",
                 address);
        cds_list_add_tail(&peer->node, &gossip->peers);
        gossip->peer_count++;
    }
    return peer;
}

void
pps_gossip_add_address(pps_gossip_t *gossip, const char *address)
{
    if (strcmp(address, gossip->own.state.address) != 0 &&
        pps_gossip_find_peer(gossip, address) == NULL) {
        pps_gossip_add_peer(gossip, address);
    }
}

struct cds_list_head *
pps_gossip_peers(pps_gossip_t *gossip)
{
    return &gossip->peers;
}

static void
on_datagram(uv_udp_t *udp, ssize_t size, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned int flags)
{
    pps_gossip_t *gossip = udp->data;

    if (size <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0) {
        return;
    }
    if (pps_gossip_receive(gossip, buffer->base, (size_t)size) != 0) {
        pps_logger_write(PPS_LOG_WARN, "datagram_skipped",
                         PPS_FIELDS(PPS_INT("bytes", size)));
    }
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *out)
{
    *out = uv_buf_init(datagram, sizeof(datagram));
}

void
pps_gossip_send_to(pps_gossip_t *gossip, const char *address,
                   const pps_buf_t *encoded)
{
    struct sockaddr_in at;
    uv_buf_t buffer = uv_buf_init(encoded->data, (unsigned int)encoded->size);

    if (gossip->transmit != NULL) {
        gossip->transmit(gossip->user, address, encoded);
        return;
    }
    if (uv_ip4_addr(address, (int)gossip->port, &at) == 0) {
        uv_udp_try_send(&gossip->udp, &buffer, 1, (struct sockaddr *)&at);
    }
}

static void
choose_hints(pps_gossip_t *gossip)
{
    pps_gossip_peer_t *peer;

    gossip->own.hint_count = 0;
    cds_list_for_each_entry (peer, &gossip->peers, node) {
        uint64_t slot;

        if (!pps_gossip_is_live(gossip, peer)) {
            continue;
        }
        if (gossip->own.hint_count < PPS_GOSSIP_HINTS) {
            slot = gossip->own.hint_count++;
        }
        else {
            slot = pps_rng_below(&gossip->rng, gossip->peer_count);
        }
        if (slot < PPS_GOSSIP_HINTS) {
            memcpy(gossip->own.hints[slot], peer->state.address,
                   PPS_GOSSIP_TEXT_BYTES);
        }
    }
}

static int
is_same_domain(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return strcmp(peer->state.failure_domain,
                  gossip->own.state.failure_domain) == 0;
}

/* Checks whether one of the two hosts reaches no workers and the other one is
 * among those whose help it asks for. */
static int
needs_help(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    int is_peer_cut = peer->last_received_us != 0 && !peer->state.takes_relays;

    return (!gossip->own.state.takes_relays || is_peer_cut) &&
           pps_gossip_is_helper(gossip, peer);
}

/* What is the same for all peers of a round. */
typedef struct {
    int sends_to_all;
    const pps_gossip_state_t *readers[PPS_GOSSIP_READERS];
    size_t reader_count;
} round_t;

static round_t
begin_round(const pps_gossip_t *gossip)
{
    round_t round = {.sends_to_all = pps_gossip_hears_all(gossip)};

    round.reader_count = pps_gossip_list_readers(round.readers, gossip);
    return round;
}

/* Checks whether this round sends the state to a peer. Records a probe. */
static int
is_due(const pps_gossip_t *gossip, const round_t *round,
       pps_gossip_peer_t *peer)
{
    int64_t now_us = gossip->reactor->now_us;
    int is_target =
        round->sends_to_all ||
        pps_gossip_is_listed(round->readers, round->reader_count, peer) ||
        is_same_domain(gossip, peer) || needs_help(gossip, peer);

    if (is_target && pps_gossip_is_live(gossip, peer)) {
        return 1;
    }
    if ((!is_target && peer->last_received_us != 0) ||
        (peer->last_probe_us != 0 &&
         now_us - peer->last_probe_us < PROBE_INTERVAL_US)) {
        return 0;
    }
    peer->last_probe_us = now_us;
    return 1;
}

void
pps_gossip_send_state(pps_gossip_t *gossip)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_peer_t *peer;
    round_t round;

    gossip->own.state.rollout_count = 0;
    gossip->own.state.live_hosts =
        (int)pps_gossip_count_locally_live_hosts(gossip);
    gossip->ops->fill_state(gossip->user, &gossip->own.state);
    choose_hints(gossip);
    round = begin_round(gossip);
    if (pps_gossip_encode_state(&encoded, &gossip->own,
                                gossip->reactor->now_us) == 0) {
        cds_list_for_each_entry (peer, &gossip->peers, node) {
            if (is_due(gossip, &round, peer)) {
                pps_gossip_send_to(gossip, peer->state.address, &encoded);
            }
        }
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_notice(pps_gossip_t *gossip, const pps_gossip_notice_t *notice)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    pps_gossip_peer_t *peer;
    unsigned int sent = 0;

    if (pps_gossip_encode_notice(&encoded, notice) == 0) {
        cds_list_for_each_entry (peer, &gossip->peers, node) {
            if (pps_gossip_is_live(gossip, peer) && sent < NOTICE_PEERS_MAX &&
                (gossip->peer_count <= PPS_GOSSIP_FULL_MESH_PEERS_MAX ||
                 is_same_domain(gossip, peer))) {
                pps_gossip_send_to(gossip, peer->state.address, &encoded);
                sent++;
            }
        }
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_to_live(pps_gossip_t *gossip, const pps_buf_t *encoded)
{
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (pps_gossip_is_live(gossip, peer)) {
            pps_gossip_send_to(gossip, peer->state.address, encoded);
        }
    }
}

/* Returns the same id for the copies that two readers send of a record. */
static uint64_t
record_id(const pps_gossip_record_t *record)
{
    const int64_t place[] = {record->topic, record->epoch, record->offset};

    return XXH64(place, sizeof(place), 0);
}

int
pps_gossip_send_record(pps_gossip_t *gossip, const pps_gossip_record_t *record)
{
    pps_buf_t encoded = PPS_BUF_INIT;
    int error = pps_gossip_encode_record(&encoded, record);

    if (error == 0 && encoded.size > RECORD_BYTES_MAX) {
        error = PPS_ELIMIT;
    }
    if (error == 0) {
        pps_gossip_keep_record(gossip, record, encoded.data, encoded.size);
        pps_gossip_send_to_all(gossip, &encoded, record_id(record));
    }
    pps_buf_clear(&encoded);
    return error;
}

void
pps_gossip_send_leaving(pps_gossip_t *gossip,
                        const pps_gossip_leaving_t *leaving)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_leaving(&encoded, leaving) == 0) {
        pps_gossip_send_to_live(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_limit(pps_gossip_t *gossip, const pps_gossip_limit_t *limit)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_limit(&encoded, limit) == 0) {
        pps_gossip_send_to_live(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_brittle(pps_gossip_t *gossip,
                        const pps_gossip_brittle_t *brittle)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (pps_gossip_encode_brittle(&encoded, brittle) == 0) {
        pps_gossip_send_to_live(gossip, &encoded);
    }
    pps_buf_clear(&encoded);
}

/* Notes the end of a time in which this host did not run. */
static void
detect_freeze(pps_gossip_t *gossip, int64_t now_us)
{
    int64_t expected_us = gossip->last_timer_us + gossip->timer.period_us;

    if (gossip->last_timer_us != 0 && now_us - expected_us > FREEZE_MIN_US) {
        gossip->forwarding->resumed_us = now_us;
    }
    gossip->last_timer_us = now_us;
}

static void
on_timer(int64_t now_us, void *user)
{
    detect_freeze(user, now_us);
    pps_gossip_send_state(user);
}

void
pps_gossip_set_link_speed(pps_gossip_t *gossip, int mbps)
{
    gossip->own.state.link_mbps = mbps;
}

void
pps_gossip_set_read_age_max(pps_gossip_t *gossip, int64_t age_us)
{
    gossip->read_age_max_us = age_us;
}

void
pps_gossip_set_period(pps_gossip_t *gossip, int64_t period_us)
{
    if (gossip->timer.period_us != period_us) {
        pps_reactor_every(gossip->reactor, &gossip->timer, period_us, on_timer,
                          gossip);
    }
}

int
pps_gossip_new(pps_gossip_t **out, pps_reactor_t *reactor, const char *host_id,
               const char *address, const char *failure_domain,
               unsigned int port, const pps_gossip_ops_t *ops, void *user)
{
    pps_gossip_t *gossip = calloc(1, sizeof(*gossip));
    struct sockaddr_in at;
    int error;

    if (gossip == NULL) {
        return PPS_ENOMEM;
    }
    gossip->forwarding = calloc(1, sizeof(*gossip->forwarding));
    if (gossip->forwarding == NULL) {
        free(gossip);
        return PPS_ENOMEM;
    }
    gossip->reactor = reactor;
    gossip->port = port;
    gossip->read_age_max_us = READ_AGE_MAX_US;
    gossip->ops = ops;
    gossip->user = user;
    CDS_INIT_LIST_HEAD(&gossip->peers);
    pps_rng_init(&gossip->rng, pps_rng_system_seed());
    gossip->own.state.incarnation = pps_rng_next(&gossip->rng) >> 1;
    snprintf(gossip->own.state.host_id, PPS_GOSSIP_TEXT_BYTES, "%s", host_id);
    snprintf(gossip->own.state.address, PPS_GOSSIP_TEXT_BYTES, "%s", address);
    snprintf(gossip->own.state.failure_domain, PPS_GOSSIP_TEXT_BYTES, "%s",
             failure_domain);
    gossip->own.state.read_age_us = -1;
    uv_udp_init(&reactor->loop, &gossip->udp);
    gossip->udp.data = gossip;
    error = uv_ip4_addr(address, (int)port, &at);
    if (error == 0) {
        error = uv_udp_bind(&gossip->udp, (struct sockaddr *)&at, 0);
    }
    if (error == 0) {
        error = uv_udp_recv_start(&gossip->udp, on_alloc, on_datagram);
    }
    if (error != 0) {
        return pps_error_set(PPS_EIO, "%s:%u: %s", address, port,
                             uv_strerror(error));
    }
    pps_gossip_set_period(gossip, PERIOD_US);
    *out = gossip;
    return PPS_OK;
}
