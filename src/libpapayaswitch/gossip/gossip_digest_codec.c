/** @file gossip_digest_codec.c @brief Encodes digests, beacons and requests
 * for states as msgpack arrays. */
#include "gossip_digest.h"

#include "clock.h"
#include "cursor.h"
#include "gossip_versions.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <string.h>

#define DIGEST_FIELDS 5
#define TOPIC_FIELDS 3
#define BEACON_FIELDS 3
#define BEACON_ENTRY_FIELDS 4
#define REQUEST_FIELDS 3
/** An entry of a digest: the id, little-endian, the flags and the age. */
#define ENTRY_BYTES 6
#define ID_BYTES 4
#define AGE_UNIT_US (100 * PPS_US_PER_MS)
#define AGE_UNITS_MAX 255
#define BYTE_BITS 8
#define BYTE_MASK 0xffU

static void
pack_string(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void
write_id(unsigned char *out, uint32_t id)
{
    for (unsigned int i = 0; i < ID_BYTES; i++) {
        out[i] = (unsigned char)((id >> (BYTE_BITS * i)) & BYTE_MASK);
    }
}

static uint32_t
read_id(const unsigned char *data)
{
    uint32_t id = 0;

    for (unsigned int i = 0; i < ID_BYTES; i++) {
        id |= (uint32_t)data[i] << (BYTE_BITS * i);
    }
    return id;
}

static void
write_entry(unsigned char *out, const pps_gossip_digest_entry_t *entry)
{
    int64_t units = (entry->age_us + AGE_UNIT_US - 1) / AGE_UNIT_US;

    write_id(out, entry->id);
    out[ID_BYTES] = (unsigned char)entry->flags;
    out[ID_BYTES + 1] =
        (unsigned char)(units < AGE_UNITS_MAX ? units : AGE_UNITS_MAX);
}

int
pps_gossip_encode_digest(pps_buf_t *out, const pps_gossip_digest_t *digest)
{
    unsigned char entries[PPS_GOSSIP_DIGEST_HOSTS * ENTRY_BYTES];
    msgpack_packer packer;

    for (size_t i = 0; i < digest->count; i++) {
        write_entry(entries + i * ENTRY_BYTES, &digest->entries[i]);
    }
    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, DIGEST_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_DIGEST_VERSION);
    pack_string(&packer, digest->from);
    pack_string(&packer, digest->failure_domain);
    msgpack_pack_array(&packer, TOPIC_FIELDS * PPS_GOSSIP_TOPICS);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        msgpack_pack_int64(&packer, digest->topic_epochs[i]);
        msgpack_pack_int64(&packer, digest->topic_relevant_ends[i]);
        msgpack_pack_int64(&packer, digest->topic_ends[i]);
    }
    msgpack_pack_bin_with_body(&packer, entries, digest->count * ENTRY_BYTES);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_encode_beacon(pps_buf_t *out, const pps_gossip_beacon_t *beacon)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, BEACON_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_BEACON_VERSION);
    pack_string(&packer, beacon->from);
    msgpack_pack_array(&packer, beacon->count);
    for (size_t i = 0; i < beacon->count; i++) {
        const pps_gossip_beacon_entry_t *entry = &beacon->entries[i];

        msgpack_pack_array(&packer, BEACON_ENTRY_FIELDS);
        msgpack_pack_uint32(&packer, entry->id);
        msgpack_pack_int64(&packer, entry->state_age_us);
        msgpack_pack_int64(&packer, entry->read_age_us);
        msgpack_pack_int(&packer, entry->live_hosts);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_gossip_encode_state_request(pps_buf_t *out,
                                const pps_gossip_state_request_t *request)
{
    unsigned char ids[PPS_GOSSIP_REQUEST_HOSTS * ID_BYTES];
    msgpack_packer packer;

    for (size_t i = 0; i < request->count; i++) {
        write_id(ids + i * ID_BYTES, request->ids[i]);
    }
    msgpack_packer_init(&packer, out, pps_gossip_append);
    msgpack_pack_array(&packer, REQUEST_FIELDS);
    msgpack_pack_int(&packer, PPS_GOSSIP_STATE_REQUEST_VERSION);
    pack_string(&packer, request->from);
    msgpack_pack_bin_with_body(&packer, ids, request->count * ID_BYTES);
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

/* Opens a datagram. The caller destroys `unpacked`, also after an error. */
static pps_cursor_t
open_datagram(msgpack_unpacked *unpacked, int version, const char *data,
              size_t size)
{
    pps_cursor_t fields = {.failed = 1};
    pps_cursor_t root;

    if (pps_msgpack_unpack(unpacked, data, size) != 0) {
        return fields;
    }
    root = (pps_cursor_t){&unpacked->data, 1, 0};
    fields = pps_cursor_read_array(&root);
    fields.failed |= root.failed;
    if (pps_cursor_read_integer(&fields) != version) {
        fields.failed = 1;
    }
    return fields;
}

/* Reads a list of entries of a fixed size. @return their number */
static size_t
read_entries(const unsigned char **out, pps_cursor_t *fields, size_t size,
             size_t max)
{
    const msgpack_object *entries = pps_cursor_read(fields);

    if (fields->failed || entries->type != MSGPACK_OBJECT_BIN ||
        entries->via.bin.size % size != 0 ||
        entries->via.bin.size / size > max) {
        fields->failed = 1;
        return 0;
    }
    *out = (const unsigned char *)entries->via.bin.ptr;
    return entries->via.bin.size / size;
}

static void
decode_digest(pps_gossip_digest_t *out, pps_cursor_t *fields)
{
    const unsigned char *entries = NULL;
    pps_cursor_t topics;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    pps_cursor_read_string(out->failure_domain, sizeof(out->failure_domain),
                           fields);
    topics = pps_cursor_read_array(fields);
    for (size_t i = 0; i < PPS_GOSSIP_TOPICS; i++) {
        out->topic_epochs[i] = pps_cursor_read_integer(&topics);
        out->topic_relevant_ends[i] = pps_cursor_read_integer(&topics);
        out->topic_ends[i] = pps_cursor_read_integer(&topics);
    }
    fields->failed |= topics.failed;
    out->count =
        read_entries(&entries, fields, ENTRY_BYTES, PPS_GOSSIP_DIGEST_HOSTS);
    for (size_t i = 0; i < out->count; i++) {
        const unsigned char *entry = entries + i * ENTRY_BYTES;

        out->entries[i] =
            (pps_gossip_digest_entry_t){read_id(entry), entry[ID_BYTES],
                                        entry[ID_BYTES + 1] * AGE_UNIT_US};
    }
}

int
pps_gossip_decode_digest(pps_gossip_digest_t *out, const char *data,
                         size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields =
        open_datagram(&unpacked, PPS_GOSSIP_DIGEST_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (!fields.failed) {
        decode_digest(out, &fields);
    }
    msgpack_unpacked_destroy(&unpacked);
    return fields.failed ? PPS_ECORRUPT : PPS_OK;
}

static void
decode_beacon(pps_gossip_beacon_t *out, pps_cursor_t *fields)
{
    pps_cursor_t list;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    list = pps_cursor_read_array(fields);
    while (list.unread_count > 0 && out->count < PPS_GOSSIP_READERS &&
           !list.failed) {
        pps_cursor_t item = pps_cursor_read_array(&list);
        pps_gossip_beacon_entry_t *entry = &out->entries[out->count++];

        entry->id = (uint32_t)pps_cursor_read_integer(&item);
        entry->state_age_us = pps_cursor_read_integer(&item);
        entry->read_age_us = pps_cursor_read_integer(&item);
        entry->live_hosts = (int)pps_cursor_read_integer(&item);
        list.failed |= item.failed || entry->state_age_us < 0;
    }
    fields->failed |= list.failed;
}

int
pps_gossip_decode_beacon(pps_gossip_beacon_t *out, const char *data,
                         size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields =
        open_datagram(&unpacked, PPS_GOSSIP_BEACON_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (!fields.failed) {
        decode_beacon(out, &fields);
    }
    msgpack_unpacked_destroy(&unpacked);
    return fields.failed ? PPS_ECORRUPT : PPS_OK;
}

static void
decode_state_request(pps_gossip_state_request_t *out, pps_cursor_t *fields)
{
    const unsigned char *ids = NULL;
    size_t count;

    pps_cursor_read_string(out->from, sizeof(out->from), fields);
    count = read_entries(&ids, fields, ID_BYTES, PPS_GOSSIP_REQUEST_HOSTS);
    for (size_t i = 0; ids != NULL && i < count; i++) {
        out->ids[out->count++] = read_id(ids + i * ID_BYTES);
    }
}

int
pps_gossip_decode_state_request(pps_gossip_state_request_t *out,
                                const char *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_cursor_t fields =
        open_datagram(&unpacked, PPS_GOSSIP_STATE_REQUEST_VERSION, data, size);

    memset(out, 0, sizeof(*out));
    if (!fields.failed) {
        decode_state_request(out, &fields);
    }
    msgpack_unpacked_destroy(&unpacked);
    return fields.failed ? PPS_ECORRUPT : PPS_OK;
}
