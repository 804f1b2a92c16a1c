/** @file gossip_receive.c @brief Hands received datagrams to the owner. */
#include "gossip_state.h"

#include "gossip_digest.h"

#include "logger.h"
#include "papayaswitch/errors.h"

#include <string.h>

static void
receive_state(pps_gossip_t *gossip, const pps_gossip_message_t *message)
{
    pps_gossip_peer_t *peer =
        pps_gossip_find_peer(gossip, message->state.address);
    int was_live;

    if (strcmp(message->state.address, gossip->own.state.address) == 0) {
        return;
    }
    if (peer == NULL) {
        peer = pps_gossip_add_peer(gossip, message->state.address);
    }
    if (peer == NULL) {
        return;
    }
    was_live = pps_gossip_is_live(gossip, peer);
    if (!was_live) {
        pps_logger_write(PPS_LOG_INFO, "peer_heard",
                         PPS_FIELDS(PPS_STR("peer", message->state.host_id),
                                    PPS_STR("at", message->state.address)));
    }
    pps_gossip_note_change(gossip, peer, &message->state);
    peer->state = message->state;
    peer->last_received_us = gossip->reactor->now_us;
    for (size_t i = 0; i < message->hint_count; i++) {
        pps_gossip_add_address(gossip, message->hints[i]);
    }
    pps_gossip_note_relays(gossip, message, peer);
    pps_gossip_send_due_digest(gossip);
    gossip->ops->on_state(gossip->user, peer);
    if (!was_live) {
        pps_gossip_answer_first_state(gossip, peer);
    }
}

static int
receive_record(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_record_t record;
    msgpack_unpacked unpacked;
    int error;

    msgpack_unpacked_init(&unpacked);
    error = pps_gossip_decode_record(&record, &unpacked, data, size);
    if (error == 0) {
        pps_gossip_keep_record(gossip, &record, data, size);
        gossip->ops->on_record(gossip->user, &record);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static int
receive_notice(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_notice_t notice;
    int error = pps_gossip_decode_notice(&notice, data, size);

    if (error == 0) {
        gossip->ops->on_notice(gossip->user, &notice);
    }
    return error;
}

static int
receive_leaving(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_leaving_t leaving;
    int error = pps_gossip_decode_leaving(&leaving, data, size);

    if (error == 0) {
        gossip->ops->on_leaving(gossip->user, &leaving);
    }
    return error;
}

static int
receive_limit(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_limit_t limit;
    int error = pps_gossip_decode_limit(&limit, data, size);

    if (error == 0) {
        gossip->ops->on_limit(gossip->user, &limit);
    }
    return error;
}

static int
receive_brittle(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_brittle_t brittle;
    int error = pps_gossip_decode_brittle(&brittle, data, size);

    if (error == 0) {
        gossip->ops->on_brittle(gossip->user, &brittle);
    }
    return error;
}

static int
receive_mark(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_mark_t mark;
    int error = pps_gossip_decode_mark(&mark, data, size);

    if (error == 0) {
        gossip->ops->on_mark(gossip->user, &mark);
    }
    return error;
}

static int
receive_beacon(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_beacon_t beacon;
    int error = pps_gossip_decode_beacon(&beacon, data, size);

    if (error == 0) {
        pps_gossip_apply_beacon(gossip, &beacon);
    }
    return error;
}

static int
receive_digest(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_digest_t digest;
    int error = pps_gossip_decode_digest(&digest, data, size);

    if (error == 0) {
        pps_gossip_apply_digest(gossip, &digest);
    }
    return error;
}

static int
receive_state_request(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_state_request_t request;
    int error = pps_gossip_decode_state_request(&request, data, size);

    if (error == 0) {
        pps_gossip_answer_state_request(gossip, &request);
    }
    return error;
}

static int
receive_poison(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_poison_t poison;
    int error =
        pps_gossip_decode_poison(&poison, data, size, gossip->reactor->now_us);

    if (error == 0) {
        gossip->ops->on_poison(gossip->user, &poison);
    }
    return error;
}

static int
receive_rollouts(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_rollouts_t rollouts;
    int error = pps_gossip_decode_rollouts(&rollouts, data, size,
                                           gossip->reactor->now_us);
    const pps_gossip_peer_t *peer =
        error == 0 ? pps_gossip_find_peer(gossip, rollouts.from) : NULL;

    if (peer != NULL && gossip->ops->on_rollouts != NULL) {
        gossip->ops->on_rollouts(gossip->user, peer, &rollouts);
    }
    return error;
}

static int
receive_ended_counts(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_ended_counts_t counts;
    int error = pps_gossip_decode_ended_counts(&counts, data, size);

    if (error == 0 && gossip->ops->on_ended_counts != NULL &&
        pps_gossip_find_peer(gossip, counts.from) != NULL) {
        gossip->ops->on_ended_counts(gossip->user, &counts);
    }
    return error;
}

int
pps_gossip_receive(pps_gossip_t *gossip, const char *data, size_t size)
{
    pps_gossip_message_t message;
    int error = PPS_ECORRUPT;

    switch (pps_gossip_read_kind(data, size)) {
    case PPS_GOSSIP_NOTICE:
        return receive_notice(gossip, data, size);
    case PPS_GOSSIP_RECORD:
        return receive_record(gossip, data, size);
    case PPS_GOSSIP_LEAVING:
        return receive_leaving(gossip, data, size);
    case PPS_GOSSIP_LIMIT:
        return receive_limit(gossip, data, size);
    case PPS_GOSSIP_BRITTLE:
        return receive_brittle(gossip, data, size);
    case PPS_GOSSIP_POISON:
        return receive_poison(gossip, data, size);
    case PPS_GOSSIP_DIGEST:
        return receive_digest(gossip, data, size);
    case PPS_GOSSIP_BEACON:
        return receive_beacon(gossip, data, size);
    case PPS_GOSSIP_STATE_REQUEST:
        return receive_state_request(gossip, data, size);
    case PPS_GOSSIP_ROLLOUT_REPORT:
        return receive_rollouts(gossip, data, size);
    case PPS_GOSSIP_ENDED_COUNT_REPORT:
        return receive_ended_counts(gossip, data, size);
    case PPS_GOSSIP_MARK:
        return receive_mark(gossip, data, size);
    case PPS_GOSSIP_FORWARD:
        return pps_gossip_receive_envelope(gossip, data, size);
    case PPS_GOSSIP_RECORD_REQUEST:
        return pps_gossip_receive_record_request(gossip, data, size);
    case PPS_GOSSIP_STATE:
        error = pps_gossip_decode_state(&message, data, size,
                                        gossip->reactor->now_us);
        break;
    case PPS_GOSSIP_UNKNOWN:
        break;
    }
    if (error == 0) {
        receive_state(gossip, &message);
    }
    return error;
}
