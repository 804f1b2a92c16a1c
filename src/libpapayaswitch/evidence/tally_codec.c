/** @file tally_codec.c @brief Encodes tallies as msgpack for peer links. */
#include "evidence/tally_state.h"
#include "papayaswitch/errors.h"

#include <msgpack.h>
#include <string.h>

/** Bounds of the leading bytes of msgpack arrays and maps. */
#define FIXMAP_FIRST 0x80
#define FIXARRAY_LAST 0x9f
#define ARRAY16 0xdc
#define MAP32 0xdf

/** Reads a sequence of msgpack scalars. */
typedef struct {
    msgpack_unpacked unpacked;
    const unsigned char *data;
    size_t size;
    size_t offset;
} reader_t;

static void
text_pack(msgpack_packer *packer, const char *text)
{
    msgpack_pack_str_with_body(packer, text, strlen(text));
}

/** Encodes an entry as scalars: host, incarnation, key, all counts. */
static void
entry_pack(msgpack_packer *packer, const pps_tally_entry_t *entry)
{
    const uint64_t *counts = (const uint64_t *)&entry->counts;

    text_pack(packer, entry->id.host);
    msgpack_pack_uint64(packer, entry->id.incarnation);
    text_pack(packer, entry->id.key);
    for (size_t i = 0; i < PPS_TALLY_FIELDS; i++) {
        msgpack_pack_uint64(packer, counts[i]);
    }
}

int
pps_tally_encode(const pps_tally_t *tally, void **out, size_t *size,
                 uint64_t since)
{
    const pps_tally_entry_t *entry;
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    cds_list_for_each_entry (entry, &tally->changes, by_change) {
        if (entry->change > since) {
            entry_pack(&packer, entry);
        }
    }
    *size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return PPS_OK;
}

/** Returns whether a value is an array or map. These are refused undecoded,
 * because a short header can declare more elements than memory holds. */
static int
is_container(unsigned char first)
{
    return (first >= FIXMAP_FIRST && first <= FIXARRAY_LAST) ||
           (first >= ARRAY16 && first <= MAP32);
}

static int
scalar_read(reader_t *reader, const msgpack_object **out)
{
    if (reader->offset >= reader->size ||
        is_container(reader->data[reader->offset]) ||
        msgpack_unpack_next(&reader->unpacked, (const char *)reader->data,
                            reader->size,
                            &reader->offset) != MSGPACK_UNPACK_SUCCESS) {
        return PPS_ECORRUPT;
    }
    *out = &reader->unpacked.data;
    return PPS_OK;
}

static int
text_read(reader_t *reader, char *out, size_t capacity)
{
    const msgpack_object *object;

    if (scalar_read(reader, &object) < 0 ||
        object->type != MSGPACK_OBJECT_STR || object->via.str.size == 0 ||
        object->via.str.size >= capacity ||
        memchr(object->via.str.ptr, '\0', object->via.str.size) != NULL) {
        return PPS_ECORRUPT;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    return PPS_OK;
}

static int
number_read(reader_t *reader, uint64_t *out)
{
    const msgpack_object *object;

    if (scalar_read(reader, &object) < 0 ||
        object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return PPS_ECORRUPT;
    }
    *out = object->via.u64;
    return PPS_OK;
}

static int
entry_read(reader_t *reader, pps_tally_id_t *id, pps_tally_counts_t *counts)
{
    uint64_t *fields = (uint64_t *)counts;

    memset(id, 0, sizeof(*id));
    if (text_read(reader, id->host, sizeof(id->host)) < 0 ||
        number_read(reader, &id->incarnation) < 0 ||
        text_read(reader, id->key, sizeof(id->key)) < 0) {
        return PPS_ECORRUPT;
    }
    for (size_t i = 0; i < PPS_TALLY_FIELDS; i++) {
        if (number_read(reader, &fields[i]) < 0) {
            return PPS_ECORRUPT;
        }
    }
    return PPS_OK;
}

/** Decodes all entries and merges them into the tally unless it is NULL. */
static int
decode(pps_tally_t *tally, const void *data, size_t size)
{
    reader_t reader = {.data = data, .size = size};
    pps_tally_id_t id;
    pps_tally_counts_t counts;
    int error = PPS_OK;

    msgpack_unpacked_init(&reader.unpacked);
    while (reader.offset < size && error == PPS_OK) {
        error = entry_read(&reader, &id, &counts);
        if (error == PPS_OK && tally != NULL) {
            error = pps_tally_raise(tally, &id, &counts);
        }
    }
    msgpack_unpacked_destroy(&reader.unpacked);
    return error;
}

int
pps_tally_merge(pps_tally_t *tally, const void *data, size_t size)
{
    if (decode(NULL, data, size) < 0) {
        return pps_error_set(PPS_ECORRUPT,
                             "tally: malformed encoding of %zu bytes", size);
    }
    return decode(tally, data, size);
}
