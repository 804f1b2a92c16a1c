/** @file frame.c @brief Encodes and decodes frames of the peer protocol. */
#include "peer/frame.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <sodium.h>
#include <string.h>

#define BODY_FIELDS 4
#define ENVELOPE_BYTES (PPS_FRAME_LENGTH_BYTES + PPS_FRAME_MAC_BYTES)

static void
put_be(unsigned char *out, uint64_t value, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        out[i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
    }
}

static size_t
get_length(const char *data)
{
    size_t value = 0;

    for (size_t i = 0; i < PPS_FRAME_LENGTH_BYTES; i++) {
        value = value << 8 | (unsigned char)data[i];
    }
    return value;
}

static void
compute_mac(unsigned char out[PPS_FRAME_MAC_BYTES],
            const unsigned char key[PPS_FRAME_KEY_BYTES], const void *body,
            size_t size)
{
    crypto_generichash(out, PPS_FRAME_MAC_BYTES, body, size, key,
                       PPS_FRAME_KEY_BYTES);
}

static int
write_buf(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

static int
pack_body(pps_buf_t *out, uint32_t kind, uint64_t sequence,
          const void *payload, size_t size)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, write_buf);
    msgpack_pack_array(&packer, BODY_FIELDS);
    msgpack_pack_uint32(&packer, PPS_FRAME_FORMAT);
    msgpack_pack_uint32(&packer, kind);
    msgpack_pack_uint64(&packer, sequence);
    msgpack_pack_bin(&packer, size);
    if (size > 0) {
        msgpack_pack_bin_body(&packer, payload, size);
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

int
pps_frame_encode(pps_buf_t *out, const unsigned char key[PPS_FRAME_KEY_BYTES],
                 uint32_t kind, uint64_t sequence, const void *payload,
                 size_t size)
{
    unsigned char length[PPS_FRAME_LENGTH_BYTES] = {0};
    unsigned char mac[PPS_FRAME_MAC_BYTES];
    size_t start = out->size;
    size_t body;

    if (size > PPS_FRAME_PAYLOAD_MAX) {
        return pps_error_set(PPS_ELIMIT,
                             "frame: payload of %zu bytes is too large", size);
    }
    pps_buf_append(out, length, sizeof(length));
    if (pack_body(out, kind, sequence, payload, size) != 0) {
        return pps_error_set(PPS_ENOMEM, "frame: out of memory");
    }
    body = out->size - start - sizeof(length);
    put_be((unsigned char *)out->data + start, body, sizeof(length));
    compute_mac(mac, key, out->data + start + sizeof(length), body);
    if (pps_buf_append(out, mac, sizeof(mac)) != 0) {
        return pps_error_set(PPS_ENOMEM, "frame: out of memory");
    }
    return PPS_OK;
}

void
pps_frame_decoder_init(pps_frame_decoder_t *decoder,
                       const unsigned char key[PPS_FRAME_KEY_BYTES])
{
    memset(decoder, 0, sizeof(*decoder));
    decoder->body_max = PPS_FRAME_BODY_MAX;
    pps_frame_decoder_rekey(decoder, key);
}

void
pps_frame_decoder_rekey(pps_frame_decoder_t *decoder,
                        const unsigned char key[PPS_FRAME_KEY_BYTES])
{
    memcpy(decoder->key, key, PPS_FRAME_KEY_BYTES);
}

void
pps_frame_decoder_clear(pps_frame_decoder_t *decoder)
{
    pps_buf_clear(&decoder->bytes);
    sodium_memzero(decoder->key, sizeof(decoder->key));
}

static void
drop_consumed(pps_frame_decoder_t *decoder)
{
    if (decoder->consumed > 0) {
        pps_buf_consume(&decoder->bytes, decoder->consumed);
        decoder->consumed = 0;
    }
}

int
pps_frame_decoder_feed(pps_frame_decoder_t *decoder, const void *data,
                       size_t size)
{
    drop_consumed(decoder);
    return pps_buf_append(&decoder->bytes, data, size);
}

static int
is_uint(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static int
parse_fields(pps_frame_t *out, const msgpack_object *body)
{
    const msgpack_object *field;

    if (body->type != MSGPACK_OBJECT_ARRAY ||
        body->via.array.size != BODY_FIELDS) {
        return PPS_ECORRUPT;
    }
    field = body->via.array.ptr;
    if (!is_uint(&field[0]) || field[0].via.u64 != PPS_FRAME_FORMAT ||
        !is_uint(&field[1]) || field[1].via.u64 > UINT32_MAX ||
        !is_uint(&field[2]) || field[3].type != MSGPACK_OBJECT_BIN) {
        return PPS_ECORRUPT;
    }
    out->kind = (uint32_t)field[1].via.u64;
    out->sequence = field[2].via.u64;
    out->payload = field[3].via.bin.ptr;
    out->size = field[3].via.bin.size;
    return PPS_OK;
}

static int
parse_body(pps_frame_t *out, const char *body, size_t size)
{
    msgpack_unpacked unpacked;
    int error = pps_msgpack_unpack(&unpacked, body, size);

    if (error == 0) {
        error = parse_fields(out, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static int
check_mac(const pps_frame_decoder_t *decoder, const char *body, size_t size)
{
    unsigned char mac[PPS_FRAME_MAC_BYTES];

    compute_mac(mac, decoder->key, body, size);
    if (sodium_memcmp(mac, body + size, sizeof(mac)) != 0) {
        return pps_error_set(PPS_EREFUSED, "frame: MAC mismatch");
    }
    return PPS_OK;
}

int
pps_frame_decoder_next(pps_frame_decoder_t *decoder, pps_frame_t *out)
{
    const char *body;
    size_t size;
    int error;

    drop_consumed(decoder);
    if (decoder->bytes.size < PPS_FRAME_LENGTH_BYTES) {
        return 0;
    }
    size = get_length(decoder->bytes.data);
    if (size > decoder->body_max) {
        return pps_error_set(PPS_ELIMIT,
                             "frame: body of %zu bytes is too large", size);
    }
    if (decoder->bytes.size < size + ENVELOPE_BYTES) {
        return 0;
    }
    body = decoder->bytes.data + PPS_FRAME_LENGTH_BYTES;
    error = check_mac(decoder, body, size);
    if (error != 0) {
        return error;
    }
    if (parse_body(out, body, size) != 0) {
        return pps_error_set(PPS_ECORRUPT, "frame: malformed body");
    }
    if (out->sequence != decoder->next_sequence) {
        return pps_error_set(PPS_ECONFLICT,
                             "frame: unexpected sequence number");
    }
    decoder->next_sequence++;
    decoder->consumed = size + ENVELOPE_BYTES;
    return 1;
}
