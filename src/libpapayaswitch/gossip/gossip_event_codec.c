/** @file gossip_event_codec.c @brief Encodes notices, records and reports of
 * leaving workers as msgpack arrays. */
#include "gossip_codec.h"

#include "cursor.h"
#include "gossip_versions.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

#define NOTICE_FIELDS 4
/** The epoch stands last; see STATE_FIELDS. */
#define RECORD_FIELDS 7
#define LEAVING_FIELDS 3
#define LIMIT_FIELDS 6
/** Without the longest prompt and whether it is for older hosts, which stand
 * last if they are told. */
#define BRITTLE_FIELDS 7
/** First byte of a msgpack array of up to 15 elements, without their count. */
#define SHORT_ARRAY 0x90
#define SHORT_ARRAY_MASK 0xf0

int
pps_gossip_append(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

pps_gossip_kind_t
pps_gossip_read_kind(const char *data, size_t size)
{
    if (size < 2 || (data[0] & SHORT_ARRAY_MASK) != SHORT_ARRAY) {
        return PPS_GOSSIP_UNKNOWN;
    }
    switch (data[1]) {
    case PPS_GOSSIP_STATE_VERSION:
        return PPS_GOSSIP_STATE;
    case PPS_GOSSIP_NOTICE_VERSION:
        return PPS_GOSSIP_NOTICE;
    case PPS_GOSSIP_RECORD_VERSION:
        return PPS_GOSSIP_RECORD;
    case PPS_GOSSIP_LEAVING_VERSION:
        return PPS_GOSSIP_LEAVING;
    case PPS_GOSSIP_LIMIT_VERSION:
        return PPS_GOSSIP_LIMIT;
    case PPS_GOSSIP_POISON_VERSION:
        return PPS_GOSSIP_POISON;
    case PPS_GOSSIP_BRITTLE_VERSION:
        return PPS_GOSSIP_BRITTLE;
    case PPS_GOSSIP_FORWARD_VERSION:
        return PPS_GOSSIP_FORWARD;
    case PPS_GOSSIP_RECORD_REQUEST_VERSION:
        return PPS_GOSSIP_RECORD_REQUEST;
    case PPS_GOSSIP_MARK_VERSION:
        return PPS_GOSSIP_MARK;
    case PPS_GOSSIP_DIGEST_VERSION:
        return PPS_GOSSIP_DIGEST;
    case PPS_GOSSIP_BEACON_VERSION:
        return PPS_GOSSIP_BEACON;
    case PPS_GOSSIP_STATE_REQUEST_VERSION:
        return PPS_GOSSIP_STATE_REQUEST;
    case PPS_GOSSIP_ENDED_COUNTS_VERSION:
        return PPS_GOSSIP_ENDED_COUNT_REPORT;
    case PPS_GOSSIP_ROLLOUTS_VERSION:
        return PPS_GOSSIP_ROLLOUT_REPORT;
    default:
        return PPS_GOSSIP_UNKNOWN;
    }
}

int
pps_gossip_encode_notice(pps_buf_t *out, const pps_gossip_notice_t *notice)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, NOTICE_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_NOTICE_VERSION);
    msgpack_pack_uint64(&packer, notice->worker);
    msgpack_pack_uint64(&packer, notice->prefix);
    msgpack_pack_uint64(&packer, notice->work);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_notice(pps_gossip_notice_t *out, const char *data,
                         size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_NOTICE_VERSION, data, size);

    if (error == 0) {
        out->worker = (uint64_t)pps_cursor_read_integer(&fields);
        out->prefix = (uint64_t)pps_cursor_read_integer(&fields);
        out->work = (uint64_t)pps_cursor_read_integer(&fields);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_gossip_encode_leaving(pps_buf_t *out, const pps_gossip_leaving_t *leaving)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, LEAVING_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_LEAVING_VERSION);
    msgpack_pack_uint64(&packer, leaving->worker);
    msgpack_pack_int64(&packer, leaving->start_ms);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_leaving(pps_gossip_leaving_t *out, const char *data,
                          size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_LEAVING_VERSION, data, size);

    if (error == 0) {
        out->worker = (uint64_t)pps_cursor_read_integer(&fields);
        out->start_ms = pps_cursor_read_integer(&fields);
        error = fields.failed ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_gossip_encode_limit(pps_buf_t *out, const pps_gossip_limit_t *limit)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, LIMIT_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_LIMIT_VERSION);
    msgpack_pack_uint64(&packer, limit->worker);
    msgpack_pack_int64(&packer, limit->start_ms);
    msgpack_pack_int(&packer, limit->is_named);
    msgpack_pack_uint64(&packer, limit->milli_per_s);
    msgpack_pack_int64(&packer, limit->age_us);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_limit(pps_gossip_limit_t *out, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(&unpacked, &fields,
                                         PPS_GOSSIP_LIMIT_VERSION, data, size);

    if (error == 0) {
        out->worker = (uint64_t)pps_cursor_read_integer(&fields);
        out->start_ms = pps_cursor_read_integer(&fields);
        out->is_named = (int)pps_cursor_read_integer(&fields);
        out->milli_per_s = (uint64_t)pps_cursor_read_integer(&fields);
        out->age_us = pps_cursor_read_integer(&fields);
        error = fields.failed || out->age_us < 0 ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

/* Returns how many of the fields behind the first ones are told. */
static unsigned int
count_last_fields(const pps_gossip_brittle_t *brittle)
{
    if (brittle->is_for_older) {
        return 2;
    }
    return brittle->longest_tokens > 0;
}

int
pps_gossip_encode_brittle(pps_buf_t *out, const pps_gossip_brittle_t *brittle)
{
    unsigned int last_fields = count_last_fields(brittle);
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, BRITTLE_FIELDS + last_fields);
    msgpack_pack_int(&packer, PPS_GOSSIP_BRITTLE_VERSION);
    msgpack_pack_uint64(&packer, brittle->worker);
    msgpack_pack_int64(&packer, brittle->start_ms);
    msgpack_pack_int(&packer, brittle->is_brittle);
    msgpack_pack_int(&packer, brittle->is_rejected);
    msgpack_pack_uint64(&packer, brittle->held);
    msgpack_pack_int64(&packer, brittle->age_us);
    if (last_fields >= 1) {
        msgpack_pack_int64(&packer, brittle->longest_tokens);
    }
    if (last_fields >= 2) {
        msgpack_pack_int(&packer, brittle->is_for_older);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_brittle(pps_gossip_brittle_t *out, const char *data,
                          size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields;
    int error = pps_cursor_open_datagram(
        &unpacked, &fields, PPS_GOSSIP_BRITTLE_VERSION, data, size);

    if (error == 0) {
        out->worker = (uint64_t)pps_cursor_read_integer(&fields);
        out->start_ms = pps_cursor_read_integer(&fields);
        out->is_brittle = (int)pps_cursor_read_integer(&fields);
        out->is_rejected = (int)pps_cursor_read_integer(&fields);
        out->held = (uint64_t)pps_cursor_read_integer(&fields);
        out->age_us = pps_cursor_read_integer(&fields);
        out->longest_tokens =
            fields.unread_count > 0 ? pps_cursor_read_integer(&fields) : 0;
        error = fields.failed || out->age_us < 0 ? PPS_ECORRUPT : PPS_OK;
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_gossip_encode_record(pps_buf_t *out, const pps_gossip_record_t *record)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, RECORD_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_RECORD_VERSION);
    msgpack_pack_unsigned_int(&packer, record->topic);
    msgpack_pack_int64(&packer, record->offset);
    msgpack_pack_int64(&packer, record->relevant_end_before);
    msgpack_pack_bin_with_body(&packer, record->key, record->key_size);
    if (record->value != NULL) {
        msgpack_pack_bin_with_body(&packer, record->value, record->size);
    }
    else {
        msgpack_pack_nil(&packer);
    }
    msgpack_pack_int64(&packer, record->epoch);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static void
decode_record(pps_gossip_record_t *out, pps_cursor_t *fields)
{
    const msgpack_object *key;
    const msgpack_object *value;

    out->topic = (unsigned int)pps_cursor_read_integer(fields);
    out->offset = pps_cursor_read_integer(fields);
    out->relevant_end_before = pps_cursor_read_integer(fields);
    key = pps_cursor_read(fields);
    value = pps_cursor_read(fields);
    if (fields->failed || key->type != MSGPACK_OBJECT_BIN ||
        (value->type != MSGPACK_OBJECT_BIN &&
         value->type != MSGPACK_OBJECT_NIL) ||
        out->topic >= PPS_GOSSIP_TOPICS) {
        fields->failed = 1;
        return;
    }
    out->key = key->via.bin.ptr;
    out->key_size = key->via.bin.size;
    if (value->type == MSGPACK_OBJECT_BIN) {
        out->value = value->via.bin.ptr;
        out->size = value->via.bin.size;
    }
    if (fields->unread_count > 0) {
        out->epoch = pps_cursor_read_integer(fields);
    }
}

int
pps_gossip_decode_record(pps_gossip_record_t *out, msgpack_unpacked *unpacked,
                         const char *data, size_t size)
{
    pps_cursor_t fields;
    int error;

    memset(out, 0, sizeof(*out));
    error = pps_cursor_open_datagram(unpacked, &fields,
                                     PPS_GOSSIP_RECORD_VERSION, data, size);
    if (error != 0) {
        return error;
    }
    decode_record(out, &fields);
    return fields.failed ? PPS_ECORRUPT : PPS_OK;
}
