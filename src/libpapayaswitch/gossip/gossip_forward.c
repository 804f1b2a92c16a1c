/** @file gossip_forward.c @brief Forwards datagrams on their way to all hosts.
 */
#include "gossip_forward.h"

#include "clock.h"
#include "forward_plan.h"
#include "gossip_state.h"
#include "papayaswitch/errors.h"
#include "relay_tree.h"

#include <stdio.h>
#include <string.h>

/** Bit beside pps_forward_duty_t: the datagram was handled here. */
#define HANDLED 4U
/** Time after a freeze in which reports are dropped that waited meanwhile:
 * they state ages as of their sending and would count as new. */
#define RESUME_US (100 * PPS_US_PER_MS)
/** Hosts that can be asked for records: relays, and then readers. */
#define SOURCES_MAX 4

typedef struct {
    pps_gossip_t *gossip;
    pps_gossip_envelope_t envelope;
    const pps_buf_t content;
} forward_t;

/* Hosts of older builds know no envelopes and get the datagram itself. */
static void
send_step(void *user, const pps_gossip_peer_t *peer, pps_forward_duty_t duty)
{
    forward_t *forward = user;
    pps_buf_t encoded = PPS_BUF_INIT;

    if (strcmp(peer->state.address, forward->envelope.origin) == 0) {
        return;
    }
    if ((peer->state.lacks & PPS_GOSSIP_LACKS_FORWARDING) != 0) {
        /* A mark is unknown to them too; they would log each one. */
        if (pps_gossip_read_kind(forward->content.data,
                                 forward->content.size) == PPS_GOSSIP_MARK) {
            return;
        }
        pps_gossip_send_to(forward->gossip, peer->state.address,
                           &forward->content);
        return;
    }
    forward->envelope.duty = duty;
    if (pps_gossip_encode_envelope(&encoded, &forward->envelope) == 0) {
        pps_gossip_send_to(forward->gossip, peer->state.address, &encoded);
    }
    pps_buf_clear(&encoded);
}

void
pps_gossip_send_to_all(pps_gossip_t *gossip, const pps_buf_t *encoded,
                       uint64_t id)
{
    forward_t forward = {
        .gossip = gossip,
        .envelope = {.id = id, .data = encoded->data, .size = encoded->size},
        .content = *encoded,
    };
    const pps_gossip_state_t *own = &gossip->own.state;

    if (gossip->peer_count <= PPS_GOSSIP_FULL_MESH_PEERS_MAX) {
        pps_gossip_send_to_live(gossip, encoded);
        return;
    }
    snprintf(forward.envelope.origin, PPS_GOSSIP_TEXT_BYTES, "%s",
             own->address);
    snprintf(forward.envelope.from_domain, PPS_GOSSIP_TEXT_BYTES, "%s",
             own->failure_domain);
    pps_seen_ring_take(&gossip->forwarding->seen, id,
                       PPS_FORWARD_ALL | HANDLED, gossip->reactor->now_us);
    pps_forward_plan_origin(gossip, send_step, &forward);
}

void
pps_gossip_keep_record(pps_gossip_t *gossip, const pps_gossip_record_t *record,
                       const char *data, size_t size)
{
    if (gossip->peer_count > PPS_GOSSIP_FULL_MESH_PEERS_MAX) {
        pps_record_log_add(&gossip->forwarding->records, record, data, size);
    }
}

void
pps_gossip_send_mark(pps_gossip_t *gossip, const pps_gossip_mark_t *mark)
{
    pps_buf_t encoded = PPS_BUF_INIT;

    if (gossip->peer_count > PPS_GOSSIP_FULL_MESH_PEERS_MAX &&
        pps_gossip_encode_mark(&encoded, mark) == 0) {
        pps_gossip_send_to_all(gossip, &encoded, pps_rng_next(&gossip->rng));
    }
    pps_buf_clear(&encoded);
}

/* Checks whether a datagram may be forwarded: states and requests describe
 * their sender only, and envelopes are not nested. */
static int
is_forwardable(pps_gossip_kind_t kind)
{
    return kind == PPS_GOSSIP_RECORD || kind == PPS_GOSSIP_LEAVING ||
           kind == PPS_GOSSIP_LIMIT || kind == PPS_GOSSIP_BRITTLE ||
           kind == PPS_GOSSIP_POISON || kind == PPS_GOSSIP_MARK;
}

/* Checks whether a report waited here while this host was frozen. */
static int
is_outdated(const pps_gossip_t *gossip, pps_gossip_kind_t kind)
{
    int64_t resumed_us = gossip->forwarding->resumed_us;

    return kind != PPS_GOSSIP_RECORD && kind != PPS_GOSSIP_MARK &&
           resumed_us != 0 && gossip->reactor->now_us - resumed_us < RESUME_US;
}

static int
forward_content(pps_gossip_t *gossip, const pps_gossip_envelope_t *envelope)
{
    forward_t forward = {
        .gossip = gossip,
        .envelope = *envelope,
        .content = {.data = (char *)envelope->data, .size = envelope->size},
    };
    pps_gossip_kind_t kind =
        pps_gossip_read_kind(envelope->data, envelope->size);
    unsigned int duties;
    int error = PPS_OK;

    if (!is_forwardable(kind)) {
        return PPS_ECORRUPT;
    }
    if (is_outdated(gossip, kind) ||
        strcmp(envelope->origin, gossip->own.state.address) == 0) {
        return PPS_OK;
    }
    duties =
        pps_seen_ring_take(&gossip->forwarding->seen, envelope->id,
                           envelope->duty | HANDLED, gossip->reactor->now_us);
    if ((duties & HANDLED) != 0) {
        gossip->is_content_forwarded = 1;
        error = pps_gossip_receive(gossip, envelope->data, envelope->size);
        gossip->is_content_forwarded = 0;
    }
    if (error == 0) {
        pps_forward_plan_duty(gossip, duties & ~HANDLED, envelope->from_domain,
                              send_step, &forward);
    }
    return error;
}

int
pps_gossip_receive_envelope(pps_gossip_t *gossip, const char *data,
                            size_t size)
{
    pps_gossip_envelope_t envelope;
    msgpack_unpacked unpacked;
    int error;

    msgpack_unpacked_init(&unpacked);
    error = pps_gossip_decode_envelope(&envelope, &unpacked, data, size);
    if (error == 0) {
        error = forward_content(gossip, &envelope);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

typedef struct {
    pps_gossip_t *gossip;
    const char *address;
} reply_t;

static void
send_kept(void *user, const pps_buf_t *encoded)
{
    const reply_t *reply = user;

    pps_gossip_send_to(reply->gossip, reply->address, encoded);
}

int
pps_gossip_receive_record_request(pps_gossip_t *gossip, const char *data,
                                  size_t size)
{
    pps_gossip_record_request_t request;
    reply_t reply = {gossip, request.address};
    int error = pps_gossip_decode_record_request(&request, data, size);

    if (error == 0 && pps_gossip_find_peer(gossip, request.address) != NULL) {
        pps_record_log_visit(&gossip->forwarding->records, request.topic,
                             request.epoch, request.end, send_kept, &reply);
    }
    return error;
}

static size_t
list_sources(const pps_gossip_peer_t **out, const pps_gossip_t *gossip)
{
    size_t count =
        pps_gossip_list_relays(out, gossip, gossip->own.state.failure_domain);
    const pps_gossip_state_t *readers[PPS_GOSSIP_READERS];
    size_t reader_count = pps_gossip_list_hubs(readers, gossip);
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        if (count < SOURCES_MAX &&
            (peer->state.lacks & PPS_GOSSIP_LACKS_FORWARDING) == 0 &&
            pps_gossip_is_listed(readers, reader_count, peer)) {
            out[count++] = peer;
        }
    }
    return count;
}

int
pps_gossip_request_records(pps_gossip_t *gossip, unsigned int topic,
                           int64_t epoch, int64_t end, unsigned int attempt)
{
    pps_gossip_record_request_t request = {
        .topic = topic, .epoch = epoch, .end = end};
    const pps_gossip_peer_t *sources[SOURCES_MAX];
    pps_buf_t encoded = PPS_BUF_INIT;
    size_t first;
    size_t count;

    if (gossip->peer_count <= PPS_GOSSIP_FULL_MESH_PEERS_MAX) {
        return PPS_ENOTFOUND;
    }
    count = list_sources(sources, gossip);
    if (count == 0) {
        return PPS_ENOTFOUND;
    }
    /* The hosts of a domain begin with different ones. */
    first = gossip->own.state.incarnation % count;
    snprintf(request.address, sizeof(request.address), "%s",
             gossip->own.state.address);
    if (pps_gossip_encode_record_request(&encoded, &request) == 0) {
        pps_gossip_send_to(gossip,
                           sources[(first + attempt) % count]->state.address,
                           &encoded);
    }
    pps_buf_clear(&encoded);
    return PPS_OK;
}
