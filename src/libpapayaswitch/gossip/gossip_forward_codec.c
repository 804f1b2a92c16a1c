/** @file gossip_forward_codec.c @brief Encodes envelopes marks and
 * requests for records as msgpack arrays. */
#include "gossip_forward.h"

#include "cursor.h"
#include "forward_plan.h"
#include "gossip_versions.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <string.h>

#define ENVELOPE_FIELDS 6
#define REQUEST_FIELDS 5
#define MARK_FIELDS 4

static void
pack_string(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

int
pps_gossip_encode_envelope(pps_buf_t *out,
                           const pps_gossip_envelope_t *envelope)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, ENVELOPE_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_FORWARD_VERSION);
    msgpack_pack_unsigned_int(&packer, envelope->duty);
    pack_string(&packer, envelope->origin);
    pack_string(&packer, envelope->from_domain);
    msgpack_pack_uint64(&packer, envelope->id);
    msgpack_pack_bin_with_body(&packer, envelope->data, envelope->size);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static pps_cursor_t
open_array(const msgpack_unpacked *unpacked, int version)
{
    pps_cursor_t root = {&unpacked->data, 1, 0};
    pps_cursor_t fields = pps_cursor_read_array(&root);

    fields.failed |= root.failed;
    if (pps_cursor_read_integer(&fields) != version) {
        fields.failed = 1;
    }
    return fields;
}

int
pps_gossip_decode_envelope(pps_gossip_envelope_t *out,
                           msgpack_unpacked *unpacked, const char *data,
                           size_t size)
{
    const msgpack_object *content;
    pps_cursor_t fields;

    memset(out, 0, sizeof(*out));
    if (pps_msgpack_unpack(unpacked, data, size) != 0) {
        return PPS_ECORRUPT;
    }
    fields = open_array(unpacked, PPS_GOSSIP_FORWARD_VERSION);
    out->duty = (unsigned int)pps_cursor_read_integer(&fields);
    pps_cursor_read_string(out->origin, sizeof(out->origin), &fields);
    pps_cursor_read_string(out->from_domain, sizeof(out->from_domain),
                           &fields);
    out->id = (uint64_t)pps_cursor_read_integer(&fields);
    content = pps_cursor_read(&fields);
    if (fields.failed || content->type != MSGPACK_OBJECT_BIN ||
        out->duty > PPS_FORWARD_ALL) {
        return PPS_ECORRUPT;
    }
    out->data = content->via.bin.ptr;
    out->size = content->via.bin.size;
    return PPS_OK;
}

int
pps_gossip_encode_record_request(pps_buf_t *out,
                                 const pps_gossip_record_request_t *request)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, REQUEST_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_RECORD_REQUEST_VERSION);
    pack_string(&packer, request->address);
    msgpack_pack_unsigned_int(&packer, request->topic);
    msgpack_pack_int64(&packer, request->epoch);
    msgpack_pack_int64(&packer, request->end);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_record_request(pps_gossip_record_request_t *out,
                                 const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields = {.failed = 1};

    memset(out, 0, sizeof(*out));
    if (pps_msgpack_unpack(&unpacked, data, size) == 0) {
        fields = open_array(&unpacked, PPS_GOSSIP_RECORD_REQUEST_VERSION);
        pps_cursor_read_string(out->address, sizeof(out->address), &fields);
        out->topic = (unsigned int)pps_cursor_read_integer(&fields);
        out->epoch = pps_cursor_read_integer(&fields);
        out->end = pps_cursor_read_integer(&fields);
    }
    msgpack_unpacked_destroy(&unpacked);
    return fields.failed || out->topic >= PPS_GOSSIP_TOPICS ? PPS_ECORRUPT
                                                            : PPS_OK;
}

int
pps_gossip_encode_mark(pps_buf_t *out, const pps_gossip_mark_t *mark)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, MARK_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_MARK_VERSION);
    msgpack_pack_unsigned_int(&packer, mark->topic);
    msgpack_pack_int64(&packer, mark->epoch);
    msgpack_pack_int64(&packer, mark->relevant_end);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_decode_mark(pps_gossip_mark_t *out, const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields = {.failed = 1};

    memset(out, 0, sizeof(*out));
    if (pps_msgpack_unpack(&unpacked, data, size) == 0) {
        fields = open_array(&unpacked, PPS_GOSSIP_MARK_VERSION);
        out->topic = (unsigned int)pps_cursor_read_integer(&fields);
        out->epoch = pps_cursor_read_integer(&fields);
        out->relevant_end = pps_cursor_read_integer(&fields);
    }
    msgpack_unpacked_destroy(&unpacked);
    return fields.failed || out->topic >= PPS_GOSSIP_TOPICS ? PPS_ECORRUPT
                                                            : PPS_OK;
}
