/** @file config_state.c @brief Encodes and decodes the config state. */
#include "fold/config_state.h"

#include "catalog/catalog_codec.h"
#include "catalog/name.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <string.h>
#include <xxhash.h>

#define STATE_FIELDS 2
#define VERDICT_FIELDS 6

int
pps_config_state_init(pps_config_state_t *state)
{
    pps_verdict_log_init(&state->verdicts);
    return pps_catalog_new(&state->catalog);
}

void
pps_config_state_clear(pps_config_state_t *state)
{
    pps_verdict_log_clear(&state->verdicts);
    pps_catalog_free(state->catalog);
    state->catalog = NULL;
}

static int
encode_text(msgpack_packer *packer, const char *text)
{
    return msgpack_pack_str_with_body(packer, text, strlen(text));
}

static int
encode_verdict(msgpack_packer *packer, const pps_note_verdict_t *verdict)
{
    return msgpack_pack_array(packer, VERDICT_FIELDS) ||
           encode_text(packer, verdict->id) ||
           msgpack_pack_int(packer, verdict->accepted) ||
           msgpack_pack_uint64(packer, verdict->offset) ||
           msgpack_pack_uint64(packer, verdict->revision) ||
           msgpack_pack_uint64(packer, verdict->digest) ||
           encode_text(packer, verdict->reason);
}

static int
encode_verdicts(msgpack_packer *packer, const pps_verdict_log_t *log)
{
    const pps_verdict_entry_t *entry;
    int failed = msgpack_pack_array(packer, log->count);

    cds_list_for_each_entry (entry, &log->entries, node) {
        failed = failed || encode_verdict(packer, &entry->verdict);
    }
    return failed;
}

int
pps_config_state_encode(msgpack_sbuffer *out, const pps_config_state_t *state)
{
    msgpack_packer packer;

    msgpack_sbuffer_init(out);
    msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
    if (msgpack_pack_array(&packer, STATE_FIELDS) != 0 ||
        pps_catalog_encode(&packer, state->catalog) < 0 ||
        encode_verdicts(&packer, &state->verdicts) != 0) {
        msgpack_sbuffer_destroy(out);
        return pps_error_set(PPS_ENOMEM, "config state: out of memory");
    }
    return PPS_OK;
}

int
pps_config_state_digest(uint64_t *out, const pps_config_state_t *state)
{
    msgpack_sbuffer buffer;
    int error = pps_config_state_encode(&buffer, state);

    if (error < 0) {
        return error;
    }
    *out = XXH64(buffer.data, buffer.size, 0);
    msgpack_sbuffer_destroy(&buffer);
    return PPS_OK;
}

static int
decode_text(char *out, size_t capacity, const msgpack_object *data)
{
    if (data->type != MSGPACK_OBJECT_STR || data->via.str.size >= capacity ||
        memchr(data->via.str.ptr, '\0', data->via.str.size) != NULL) {
        return PPS_ECORRUPT;
    }
    memcpy(out, data->via.str.ptr, data->via.str.size);
    out[data->via.str.size] = '\0';
    return PPS_OK;
}

static int
decode_verdict(pps_note_verdict_t *out, const msgpack_object *data)
{
    const msgpack_object *fields = data->via.array.ptr;

    memset(out, 0, sizeof(*out));
    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size != VERDICT_FIELDS ||
        decode_text(out->id, sizeof(out->id), &fields[0]) < 0 ||
        decode_text(out->reason, sizeof(out->reason), &fields[5]) < 0 ||
        !pps_name_is_plain(out->id)) {
        return PPS_ECORRUPT;
    }
    for (int i = 1; i <= 4; i++) {
        if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return PPS_ECORRUPT;
        }
    }
    out->accepted = fields[1].via.u64 != 0;
    out->offset = fields[2].via.u64;
    out->revision = fields[3].via.u64;
    out->digest = fields[4].via.u64;
    return PPS_OK;
}

static int
decode_verdicts(pps_verdict_log_t *log, const msgpack_object *data)
{
    int error = PPS_OK;

    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size > PPS_VERDICTS_MAX) {
        return PPS_ECORRUPT;
    }
    for (uint32_t i = 0; i < data->via.array.size && error == PPS_OK; i++) {
        pps_note_verdict_t verdict;

        error = decode_verdict(&verdict, &data->via.array.ptr[i]);
        if (error == PPS_OK && pps_verdict_log_find(log, verdict.id)) {
            error = PPS_ECORRUPT;
        }
        if (error == PPS_OK) {
            error = pps_verdict_log_add(log, &verdict);
        }
    }
    return error;
}

static int
decode_fields(pps_config_state_t *out, const msgpack_object *data)
{
    int error;

    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size != STATE_FIELDS) {
        return PPS_ECORRUPT;
    }
    error = pps_catalog_decode(&out->catalog, &data->via.array.ptr[0]);
    if (error < 0) {
        return error;
    }
    return decode_verdicts(&out->verdicts, &data->via.array.ptr[1]);
}

/* A state has one valid encoding, so that a checkpoint at an offset has one
 * possible content. */
static int
check_canonical(const pps_config_state_t *state, const void *data, size_t size)
{
    msgpack_sbuffer buffer;
    int error = pps_config_state_encode(&buffer, state);

    if (error < 0) {
        return error;
    }
    if (buffer.size != size || memcmp(buffer.data, data, size) != 0) {
        error = PPS_ECORRUPT;
    }
    msgpack_sbuffer_destroy(&buffer);
    return error;
}

int
pps_config_state_decode(pps_config_state_t *out, const void *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    memset(out, 0, sizeof(*out));
    pps_verdict_log_init(&out->verdicts);
    if (pps_msgpack_unpack(&unpacked, data, size) == PPS_OK) {
        error = decode_fields(out, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error == PPS_OK) {
        error = check_canonical(out, data, size);
    }
    if (error < 0) {
        pps_config_state_clear(out);
        return pps_error_set(error, "config state does not decode");
    }
    return PPS_OK;
}
