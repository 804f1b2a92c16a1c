/** @file gossip_codec.c @brief Encodes state datagrams as msgpack arrays. */
#include "gossip_codec.h"

#include "cursor.h"
#include "gossip_rollout_codec.h"
#include "gossip_versions.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

/** The epochs and the digest of crashes stand last: hosts of older builds
 * ignore what follows the elements that they know, and send none. */
#define STATE_FIELDS 15
/** The epochs, whether it takes relays, and what the build does
 * (PPS_GOSSIP_LACKS_... bits that are not lacking): a datagram of more fields
 * than the ones above has another head, which hosts of older builds do not
 * read. */
#define LAST_LIST_FIELDS (PPS_GOSSIP_TOPICS + 2)
/** All PPS_GOSSIP_LACKS_... bits. */
#define ABILITIES                                                             \
    (PPS_GOSSIP_LACKS_FORWARDING | PPS_GOSSIP_LACKS_DIGESTS |                 \
     PPS_GOSSIP_LACKS_BRITTLE_UPSTREAMS | PPS_GOSSIP_LACKS_PERMIT_SIZES |     \
     PPS_GOSSIP_LACKS_ROLLOUT_REPORTS | PPS_GOSSIP_LACKS_RELEVANCE_RULE |     \
     PPS_GOSSIP_LACKS_ENDED_COUNTS)

static void
pack_string(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

int
pps_gossip_encode_state(pps_buf_t *out, const pps_gossip_message_t *message,
                        int64_t now_us)
{
    const pps_gossip_state_t *state = &message->state;
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, STATE_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_STATE_VERSION);
    pack_string(&packer, state->host_id);
    pack_string(&packer, state->address);
    pack_string(&packer, state->failure_domain);
    msgpack_pack_int(&packer, state->live_hosts);
    msgpack_pack_uint64(&packer, state->incarnation);
    msgpack_pack_array(&packer, PPS_GOSSIP_TOPICS);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        msgpack_pack_int64(&packer, state->topic_relevant_ends[i]);
    }
    msgpack_pack_array(&packer, PPS_GOSSIP_TOPICS);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        msgpack_pack_int64(&packer, state->topic_ends[i]);
    }
    msgpack_pack_int64(&packer, state->read_age_us);
    msgpack_pack_int(&packer, state->leaving);
    msgpack_pack_int(&packer, state->link_mbps);
    msgpack_pack_array(&packer, message->hint_count);
    for (size_t i = 0; i < message->hint_count; i++) {
        pack_string(&packer, message->hints[i]);
    }
    msgpack_pack_array(&packer, state->rollout_count);
    for (size_t i = 0; i < state->rollout_count; i++) {
        pps_gossip_pack_rollout(&packer, &state->rollouts[i], now_us);
    }
    msgpack_pack_array(&packer, LAST_LIST_FIELDS);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        msgpack_pack_int64(&packer, state->topic_epochs[i]);
    }
    msgpack_pack_int(&packer, state->takes_relays);
    msgpack_pack_unsigned_int(&packer, ABILITIES & ~state->lacks);
    msgpack_pack_uint64(&packer, state->poison_digest);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static void
decode_last_list(pps_gossip_state_t *state, pps_cursor_t *fields)
{
    pps_cursor_t list;

    state->lacks = ABILITIES;
    if (fields->failed || fields->unread_count == 0) {
        return;
    }
    list = pps_cursor_read_array(fields);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        state->topic_epochs[i] = pps_cursor_read_integer(&list);
    }
    if (list.unread_count > 0) {
        state->takes_relays = pps_cursor_read_integer(&list) == 1;
    }
    if (list.unread_count > 0) {
        state->lacks &= ~(unsigned int)pps_cursor_read_integer(&list);
    }
    fields->failed |= list.failed;
}

static void
decode_poison_digest(pps_gossip_state_t *state, pps_cursor_t *fields)
{
    if (fields->failed || fields->unread_count == 0) {
        return;
    }
    state->poison_digest = (uint64_t)pps_cursor_read_integer(fields);
    state->has_poison_digest = 1;
}

static void
decode_state(pps_gossip_message_t *out, pps_cursor_t *fields, int64_t now_us)
{
    pps_gossip_state_t *state = &out->state;
    pps_cursor_t list;

    pps_cursor_read_string(state->host_id, sizeof(state->host_id), fields);
    pps_cursor_read_string(state->address, sizeof(state->address), fields);
    pps_cursor_read_string(state->failure_domain,
                           sizeof(state->failure_domain), fields);
    state->live_hosts = (int)pps_cursor_read_integer(fields);
    state->incarnation = (uint64_t)pps_cursor_read_integer(fields);
    list = pps_cursor_read_array(fields);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        state->topic_relevant_ends[i] = pps_cursor_read_integer(&list);
    }
    fields->failed |= list.failed;
    list = pps_cursor_read_array(fields);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        state->topic_ends[i] = pps_cursor_read_integer(&list);
    }
    fields->failed |= list.failed;
    state->read_age_us = pps_cursor_read_integer(fields);
    state->leaving = (int)pps_cursor_read_integer(fields);
    state->link_mbps = (int)pps_cursor_read_integer(fields);
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 && out->hint_count < PPS_GOSSIP_HINTS) {
        pps_cursor_read_string(out->hints[out->hint_count++],
                               PPS_GOSSIP_TEXT_BYTES, &list);
    }
    fields->failed |= list.failed;
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 &&
           state->rollout_count < PPS_GOSSIP_ROLLOUTS) {
        pps_gossip_read_rollout(&state->rollouts[state->rollout_count++],
                                &list, now_us);
    }
    fields->failed |= list.failed;
    decode_last_list(state, fields);
    decode_poison_digest(state, fields);
}

int
pps_gossip_decode_state(pps_gossip_message_t *out, const char *data,
                        size_t size, int64_t now_us)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(&unpacked, &fields,
                                         PPS_GOSSIP_STATE_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (error == 0) {
        decode_state(out, &fields, now_us);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
