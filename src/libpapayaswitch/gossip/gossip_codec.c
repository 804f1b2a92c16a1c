/** @file gossip_codec.c @brief Encodes state datagrams as msgpack arrays. */
#include "gossip_codec.h"

#include "cursor.h"
#include "gossip_versions.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

/** The epochs and the digest of crashes stand last, and so do
 * the slow answers of a count and the counts of loaded workers: hosts of older
 * builds ignore what follows the elements that they know, and send none. */
#define STATE_FIELDS 15
/** The epochs, whether it takes relays, and what the build does
 * (PPS_GOSSIP_LACKS_... bits that are not lacking): a datagram of more fields
 * than the ones above has another head, which hosts of older builds do not
 * read. */
#define LAST_LIST_FIELDS (PPS_GOSSIP_TOPICS + 2)
/** All PPS_GOSSIP_LACKS_... bits. */
#define ABILITIES                                                             \
    (PPS_GOSSIP_LACKS_FORWARDING | PPS_GOSSIP_LACKS_DIGESTS |                 \
     PPS_GOSSIP_LACKS_BRITTLE_UPSTREAMS | PPS_GOSSIP_LACKS_PERMIT_SIZES)
#define ROLLOUT_FIELDS 14
#define COUNT_FIELDS 10

static void
pack_string(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void
pack_count(msgpack_packer *packer, int is_target, size_t kind,
           const pps_rollout_count_t *count)
{
    msgpack_pack_array(packer, COUNT_FIELDS);
    msgpack_pack_int(packer, is_target);
    msgpack_pack_uint64(packer, kind);
    msgpack_pack_uint32(packer, count->answers);
    msgpack_pack_uint32(packer, count->failures);
    msgpack_pack_uint32(packer, count->timed);
    msgpack_pack_uint64(packer, count->first_byte_us);
    msgpack_pack_uint32(packer, count->judged);
    msgpack_pack_uint32(packer, count->slow);
    msgpack_pack_uint32(packer, count->scored);
    msgpack_pack_int64(packer, count->score_milli);
}

static int
is_count_empty(const pps_rollout_count_t *count)
{
    return count->answers == 0 && count->timed == 0;
}

static void
pack_counts(msgpack_packer *packer, const pps_rollout_tally_t *tally)
{
    size_t filled = 0;

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        filled += !is_count_empty(&tally->baseline[i]);
        filled += !is_count_empty(&tally->target[i]);
    }
    msgpack_pack_array(packer, filled);
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        if (!is_count_empty(&tally->baseline[i])) {
            pack_count(packer, 0, i, &tally->baseline[i]);
        }
        if (!is_count_empty(&tally->target[i])) {
            pack_count(packer, 1, i, &tally->target[i]);
        }
    }
}

static void
pack_rollout(msgpack_packer *packer, const pps_gossip_rollout_t *item,
             int64_t now_us)
{
    const pps_rollout_t *rollout = &item->rollout;

    msgpack_pack_array(packer, ROLLOUT_FIELDS);
    pack_string(packer, rollout->upstream);
    pack_string(packer, rollout->target);
    msgpack_pack_int(packer, rollout->state);
    msgpack_pack_int64(packer, now_us - rollout->started_us);
    msgpack_pack_int64(packer, rollout->duration_us);
    msgpack_pack_unsigned_int(packer, rollout->share);
    msgpack_pack_int(packer, rollout->held);
    msgpack_pack_unsigned_int(packer, rollout->next_share);
    msgpack_pack_int64(packer, rollout->next_age_us);
    msgpack_pack_uint32(packer, item->tally.requests);
    msgpack_pack_uint32(packer, item->tally.exposed);
    pack_counts(packer, &item->tally);
    msgpack_pack_array(packer, 2);
    pack_count(packer, 0, 0, &item->tally.loaded_baseline);
    pack_count(packer, 1, 0, &item->tally.loaded_target);
    msgpack_pack_int(packer, rollout->proven);
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
        pack_rollout(&packer, &state->rollouts[i], now_us);
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

typedef pps_rollout_count_t *(*find_count_fn)(pps_rollout_tally_t *tally,
                                              int is_target, uint64_t kind);

static pps_rollout_count_t *
find_kind(pps_rollout_tally_t *tally, int is_target, uint64_t kind)
{
    return is_target ? &tally->target[kind] : &tally->baseline[kind];
}

static pps_rollout_count_t *
find_loaded(pps_rollout_tally_t *tally, int is_target, uint64_t kind)
{
    return is_target ? &tally->loaded_target : &tally->loaded_baseline;
}

static void
decode_count(pps_rollout_tally_t *tally, pps_cursor_t *list,
             find_count_fn find)
{
    pps_cursor_t fields = pps_cursor_read_array(list);
    int is_target = (int)pps_cursor_read_integer(&fields);
    uint64_t kind = (uint64_t)pps_cursor_read_integer(&fields);
    pps_rollout_count_t *count;

    if (fields.failed || kind >= PPS_ROLLOUT_KINDS) {
        list->failed = 1;
        return;
    }
    count = find(tally, is_target, kind);
    count->answers = (uint32_t)pps_cursor_read_integer(&fields);
    count->failures = (uint32_t)pps_cursor_read_integer(&fields);
    count->timed = (uint32_t)pps_cursor_read_integer(&fields);
    count->first_byte_us = (uint64_t)pps_cursor_read_integer(&fields);
    if (fields.unread_count > 0) {
        count->judged = (uint32_t)pps_cursor_read_integer(&fields);
        count->slow = (uint32_t)pps_cursor_read_integer(&fields);
        count->scored = (uint32_t)pps_cursor_read_integer(&fields);
        count->score_milli = pps_cursor_read_integer(&fields);
    }
    list->failed |= fields.failed;
}

static void
decode_counts(pps_rollout_tally_t *tally, pps_cursor_t *fields,
              find_count_fn find)
{
    pps_cursor_t counts = pps_cursor_read_array(fields);

    while (counts.unread_count > 0 && !counts.failed) {
        decode_count(tally, &counts, find);
    }
    fields->failed |= counts.failed;
}

static void
decode_rollout(pps_gossip_rollout_t *out, pps_cursor_t *list, int64_t now_us)
{
    pps_cursor_t fields = pps_cursor_read_array(list);
    pps_rollout_t *rollout = &out->rollout;

    pps_cursor_read_string(rollout->upstream, sizeof(rollout->upstream),
                           &fields);
    pps_cursor_read_string(rollout->target, sizeof(rollout->target), &fields);
    rollout->state = (pps_rollout_state_t)pps_cursor_read_integer(&fields);
    rollout->started_us = now_us - pps_cursor_read_integer(&fields);
    rollout->duration_us = pps_cursor_read_integer(&fields);
    rollout->share = (unsigned int)pps_cursor_read_integer(&fields);
    rollout->held = (int)pps_cursor_read_integer(&fields);
    rollout->next_share = (unsigned int)pps_cursor_read_integer(&fields);
    rollout->next_age_us = pps_cursor_read_integer(&fields);
    out->tally.requests = (uint32_t)pps_cursor_read_integer(&fields);
    out->tally.exposed = (uint32_t)pps_cursor_read_integer(&fields);
    decode_counts(&out->tally, &fields, find_kind);
    if (!fields.failed && fields.unread_count > 0) {
        decode_counts(&out->tally, &fields, find_loaded);
        rollout->proven = (int)pps_cursor_read_integer(&fields);
    }
    if (rollout->state < PPS_ROLLOUT_NONE ||
        rollout->state > PPS_ROLLOUT_ROLLED_BACK) {
        list->failed = 1;
    }
    list->failed |= fields.failed;
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

    if (pps_cursor_read_integer(fields) != PPS_GOSSIP_STATE_VERSION) {
        fields->failed = 1;
        return;
    }
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
        decode_rollout(&state->rollouts[state->rollout_count++], &list,
                       now_us);
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
    pps_cursor_t root;
    pps_cursor_t fields;

    memset(out, 0, sizeof(*out));
    if (pps_msgpack_unpack(&unpacked, data, size) != 0) {
        msgpack_unpacked_destroy(&unpacked);
        return PPS_ECORRUPT;
    }
    root = (pps_cursor_t){&unpacked.data, 1, 0};
    fields = pps_cursor_read_array(&root);
    if (!root.failed) {
        decode_state(out, &fields, now_us);
    }
    msgpack_unpacked_destroy(&unpacked);
    return root.failed || fields.failed ? PPS_ECORRUPT : PPS_OK;
}
