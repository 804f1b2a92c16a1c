/** @file gossip_rollout_codec.c @brief Encodes roll-outs with their counts as
 * msgpack arrays. */
#include "gossip_rollout_codec.h"

#include "gossip_codec.h"
#include "gossip_versions.h"
#include "papayaswitch/errors.h"

#include <string.h>

/** What newer builds have added stands last: hosts of older builds ignore what
 * follows the elements that they know. */
#define ROLLOUT_FIELDS 16
#define COUNT_FIELDS 10
#define REPORT_FIELDS 4
#define ENDED_COUNTS_FIELDS 5
#define ENDED_COUNT_FIELDS 6

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
pack_kinds(msgpack_packer *packer, const pps_rollout_tally_t *tally)
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

/* Packs the four elements of a tally. */
static void
pack_tally(msgpack_packer *packer, const pps_rollout_tally_t *tally)
{
    msgpack_pack_uint32(packer, tally->requests);
    msgpack_pack_uint32(packer, tally->exposed);
    pack_kinds(packer, tally);
    msgpack_pack_array(packer, 2);
    pack_count(packer, 0, 0, &tally->loaded_baseline);
    pack_count(packer, 1, 0, &tally->loaded_target);
}

void
pps_gossip_pack_rollout(msgpack_packer *packer,
                        const pps_gossip_rollout_t *item, int64_t now_us)
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
    pack_tally(packer, &item->tally);
    msgpack_pack_int(packer, rollout->proven);
    msgpack_pack_int(packer, rollout->hold_reason);
    msgpack_pack_uint64(packer, item->ended_digest);
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

static pps_rollout_hold_t
read_hold_reason(pps_cursor_t *fields)
{
    int64_t reason = pps_cursor_read_integer(fields);

    return reason > PPS_ROLLOUT_HOLD_UNKNOWN && reason <= PPS_ROLLOUT_HOLD_TIME
               ? (pps_rollout_hold_t)reason
               : PPS_ROLLOUT_HOLD_UNKNOWN;
}

void
pps_gossip_read_rollout(pps_gossip_rollout_t *out, pps_cursor_t *list,
                        int64_t now_us)
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
    if (!fields.failed && fields.unread_count > 0) {
        rollout->hold_reason = read_hold_reason(&fields);
        out->ended_digest = (uint64_t)pps_cursor_read_integer(&fields);
        out->has_ended_digest = 1;
    }
    if (rollout->state < PPS_ROLLOUT_NONE ||
        rollout->state > PPS_ROLLOUT_ROLLED_BACK) {
        list->failed = 1;
    }
    list->failed |= fields.failed;
}

int
pps_gossip_encode_rollouts(pps_buf_t *out,
                           const pps_gossip_rollouts_t *rollouts,
                           int64_t now_us)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, REPORT_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_ROLLOUTS_VERSION);
    pack_string(&packer, rollouts->from);
    msgpack_pack_array(&packer, rollouts->count);
    for (size_t i = 0; i < rollouts->count; i++) {
        pps_gossip_pack_rollout(&packer, &rollouts->items[i], now_us);
    }
    msgpack_pack_uint64(&packer, rollouts->incarnation);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static void
read_rollouts(pps_gossip_rollouts_t *out, pps_cursor_t *fields, int64_t now_us)
{
    pps_cursor_t list;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 && !list.failed &&
           out->count < PPS_GOSSIP_ROLLOUTS) {
        pps_gossip_read_rollout(&out->items[out->count++], &list, now_us);
    }
    fields->failed |= list.failed;
    if (!fields->failed && fields->unread_count > 0) {
        out->incarnation = (uint64_t)pps_cursor_read_integer(fields);
    }
}

int
pps_gossip_decode_rollouts(pps_gossip_rollouts_t *out, const char *data,
                           size_t size, int64_t now_us)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_ROLLOUTS_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (error == 0) {
        read_rollouts(out, &fields, now_us);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static void
pack_ended_count(msgpack_packer *packer, const pps_gossip_ended_count_t *item)
{
    msgpack_pack_array(packer, ENDED_COUNT_FIELDS);
    pack_string(packer, item->process.host);
    msgpack_pack_uint64(packer, item->process.incarnation);
    pack_tally(packer, &item->tally);
}

int
pps_gossip_encode_ended_counts(pps_buf_t *out,
                               const pps_gossip_ended_counts_t *counts)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, ENDED_COUNTS_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_ENDED_COUNTS_VERSION);
    pack_string(&packer, counts->from);
    pack_string(&packer, counts->upstream);
    pack_string(&packer, counts->target);
    msgpack_pack_array(&packer, counts->count);
    for (size_t i = 0; i < counts->count; i++) {
        pack_ended_count(&packer, &counts->items[i]);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static void
read_ended_count(pps_gossip_ended_count_t *out, pps_cursor_t *list)
{
    pps_cursor_t fields = pps_cursor_read_array(list);

    pps_cursor_read_string(out->process.host, sizeof(out->process.host),
                           &fields);
    out->process.incarnation = (uint64_t)pps_cursor_read_integer(&fields);
    out->tally.requests = (uint32_t)pps_cursor_read_integer(&fields);
    out->tally.exposed = (uint32_t)pps_cursor_read_integer(&fields);
    decode_counts(&out->tally, &fields, find_kind);
    decode_counts(&out->tally, &fields, find_loaded);
    list->failed |= fields.failed;
}

static void
read_ended_counts(pps_gossip_ended_counts_t *out, pps_cursor_t *fields)
{
    pps_cursor_t list;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    pps_cursor_read_string(out->upstream, sizeof(out->upstream), fields);
    pps_cursor_read_string(out->target, sizeof(out->target), fields);
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 && !list.failed &&
           out->count < PPS_GOSSIP_ENDED_COUNTS) {
        read_ended_count(&out->items[out->count++], &list);
    }
    fields->failed |= list.failed;
}

int
pps_gossip_decode_ended_counts(pps_gossip_ended_counts_t *out,
                               const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_ENDED_COUNTS_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (error == 0) {
        read_ended_counts(out, &fields);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}
