/** @file handshake.c @brief Encodes hellos and derives session keys. */
#include "peer/handshake.h"

#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <sodium.h>
#include <string.h>

#define HELLO_FIELDS 4

static const char hello_label[] = "papayaswitch peer hello";
static const char session_label[] = "papayaswitch peer session";

void
pps_peer_hello_key(unsigned char out[PPS_FRAME_KEY_BYTES],
                   const unsigned char shared[PPS_FRAME_KEY_BYTES])
{
    crypto_generichash(out, PPS_FRAME_KEY_BYTES,
                       (const unsigned char *)hello_label, sizeof(hello_label),
                       shared, PPS_FRAME_KEY_BYTES);
}

void
pps_peer_hello_init(pps_peer_hello_t *out, const char *id,
                    uint64_t incarnation)
{
    memset(out, 0, sizeof(*out));
    out->version = PPS_PEER_PROTOCOL_VERSION;
    strncpy(out->id, id, PPS_HOST_ID_MAX);
    out->incarnation = incarnation;
    randombytes_buf(out->nonce, sizeof(out->nonce));
}

static int
write_buf(void *user, const char *data, size_t size)
{
    return pps_buf_append(user, data, size);
}

int
pps_peer_hello_encode(pps_buf_t *out, const pps_peer_hello_t *hello)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, write_buf);
    msgpack_pack_array(&packer, HELLO_FIELDS);
    msgpack_pack_uint32(&packer, hello->version);
    msgpack_pack_str_with_body(&packer, hello->id, strlen(hello->id));
    msgpack_pack_uint64(&packer, hello->incarnation);
    msgpack_pack_bin_with_body(&packer, hello->nonce, sizeof(hello->nonce));
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static int
parse_fields(pps_peer_hello_t *out, const msgpack_object *field)
{
    if (field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return pps_error_set(PPS_ECORRUPT, "hello: missing version");
    }
    if (field[0].via.u64 != PPS_PEER_PROTOCOL_VERSION) {
        return pps_error_set(PPS_EINVALID, "hello: unsupported version");
    }
    if (field[1].type != MSGPACK_OBJECT_STR || field[1].via.str.size == 0 ||
        field[1].via.str.size > PPS_HOST_ID_MAX ||
        memchr(field[1].via.str.ptr, '\0', field[1].via.str.size) != NULL ||
        field[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        field[3].type != MSGPACK_OBJECT_BIN ||
        field[3].via.bin.size != PPS_PEER_NONCE_BYTES) {
        return pps_error_set(PPS_ECORRUPT, "hello: malformed payload");
    }
    out->version = PPS_PEER_PROTOCOL_VERSION;
    memcpy(out->id, field[1].via.str.ptr, field[1].via.str.size);
    out->incarnation = field[2].via.u64;
    memcpy(out->nonce, field[3].via.bin.ptr, PPS_PEER_NONCE_BYTES);
    return PPS_OK;
}

int
pps_peer_hello_decode(pps_peer_hello_t *out, const void *data, size_t size)
{
    msgpack_unpacked unpacked;
    int error = pps_msgpack_unpack(&unpacked, data, size);

    memset(out, 0, sizeof(*out));
    if (error != 0 || unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
        unpacked.data.via.array.size < HELLO_FIELDS) {
        error = pps_error_set(PPS_ECORRUPT, "hello: malformed payload");
        goto done;
    }
    error = parse_fields(out, unpacked.data.via.array.ptr);

done:
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

int
pps_peer_hello_check(const pps_peer_hello_t *hello, const char *own_id,
                     const char *expected)
{
    if (strcmp(hello->id, own_id) == 0) {
        return pps_error_set(PPS_EREFUSED, "hello: own id '%s'", own_id);
    }
    if (expected != NULL && strcmp(hello->id, expected) != 0) {
        return pps_error_set(PPS_EREFUSED, "hello: id '%s', expected '%s'",
                             hello->id, expected);
    }
    return PPS_OK;
}

static void
derive_key(unsigned char out[PPS_FRAME_KEY_BYTES],
           const unsigned char shared[PPS_FRAME_KEY_BYTES],
           const pps_peer_hello_t *initiator, const pps_peer_hello_t *acceptor,
           unsigned char direction)
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, shared, PPS_FRAME_KEY_BYTES,
                            PPS_FRAME_KEY_BYTES);
    crypto_generichash_update(&state, (const unsigned char *)session_label,
                              sizeof(session_label));
    crypto_generichash_update(&state, initiator->nonce,
                              sizeof(initiator->nonce));
    crypto_generichash_update(&state, acceptor->nonce,
                              sizeof(acceptor->nonce));
    crypto_generichash_update(&state, (const unsigned char *)initiator->id,
                              sizeof(initiator->id));
    crypto_generichash_update(&state, (const unsigned char *)acceptor->id,
                              sizeof(acceptor->id));
    crypto_generichash_update(&state, &direction, sizeof(direction));
    crypto_generichash_final(&state, out, PPS_FRAME_KEY_BYTES);
}

void
pps_peer_keys_derive(pps_peer_keys_t *out,
                     const unsigned char shared[PPS_FRAME_KEY_BYTES],
                     const pps_peer_hello_t *own,
                     const pps_peer_hello_t *other, int initiator)
{
    const pps_peer_hello_t *from = initiator ? own : other;
    const pps_peer_hello_t *to = initiator ? other : own;

    derive_key(out->send, shared, from, to, initiator ? 0 : 1);
    derive_key(out->receive, shared, from, to, initiator ? 1 : 0);
}
