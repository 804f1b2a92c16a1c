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

/** Defaults of pps_gossip_set_period() and pps_gossip_set_read_age_max(). */
#define PERIOD_US (1 * PPS_US_PER_S)
#define READ_AGE_MAX_US (1300 * PPS_US_PER_MS)

/** A timer that is later than this shows that the host was frozen. */
#define FREEZE_MIN_US (1 * PPS_US_PER_S)
#define DATAGRAM_BYTES_MAX 4096

static char datagram[DATAGRAM_BYTES_MAX];

uint32_t
pps_gossip_id_of(const char *address)
{
    return XXH32(address, strlen(address), 0);
}

pps_gossip_peer_t *
pps_gossip_find_peer(pps_gossip_t *gossip, const char *address)
{
    uint32_t id = pps_gossip_id_of(address);
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (peer->id == id && strcmp(peer->state.address, address) == 0) {
            return peer;
        }
    }
    return NULL;
}

pps_gossip_peer_t *
pps_gossip_find_id(pps_gossip_t *gossip, uint32_t id)
{
    pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

pps_gossip_peer_t *
pps_gossip_add_peer(pps_gossip_t *gossip, const char *address)
{
    pps_gossip_peer_t *peer = NULL;

    if (gossip->peer_count < PPS_GOSSIP_PEERS_MAX) {
        peer = calloc(1, sizeof(*peer));
    }
    if (peer != NULL) {
        snprintf(peer->state.address, sizeof(peer->state.address), "%s",
                 address);
        peer->id = pps_gossip_id_of(address);
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
    pps_gossip_send_regular_state(user);
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
    /* Changes of the domain's size below a quarter leave the timer as it is.
     */
    if (period_us >= PERIOD_US) {
        int64_t step_us = PERIOD_US / 4;

        period_us =
            (int64_t)((double)period_us * pps_gossip_period_scale(gossip)) /
            step_us * step_us;
    }
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
    pps_gossip_start_relaying(gossip);
    *out = gossip;
    return PPS_OK;
}
