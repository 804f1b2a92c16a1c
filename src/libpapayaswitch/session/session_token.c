/** @file session_token.c @brief Seals and opens authenticated pin tokens. */
#include "papayaswitch/session_token.h"

#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define TOKEN_FORMAT 1
#define TOKEN_FIELDS 5
#define SECRET_BYTES_MIN 16
#define BASE64 sodium_base64_VARIANT_URLSAFE_NO_PADDING

static const char key_purpose[] = "papayaswitch session token";

int
pps_session_key_derive(pps_session_key_t *out, const char *secret)
{
    if (strlen(secret) < SECRET_BYTES_MIN) {
        return pps_error_set(PPS_EINVALID,
                             "the secret has fewer than %d bytes",
                             SECRET_BYTES_MIN);
    }
    crypto_generichash(out->bytes, sizeof(out->bytes),
                       (const unsigned char *)secret, strlen(secret),
                       (const unsigned char *)key_purpose,
                       sizeof(key_purpose) - 1);
    return PPS_OK;
}

static void
pack_token(msgpack_sbuffer *buffer, const pps_session_token_t *token)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, TOKEN_FIELDS);
    msgpack_pack_int(&packer, TOKEN_FORMAT);
    pps_pack_text(&packer, token->workspace);
    pps_pack_text(&packer, token->session);
    pps_pack_text(&packer, token->version);
    msgpack_pack_int64(&packer, token->expires_us);
}

int
pps_session_token_seal(char **out, const pps_session_token_t *token,
                       const pps_session_key_t *key)
{
    uint8_t mac[crypto_auth_BYTES] = {0};
    msgpack_sbuffer buffer;
    size_t capacity;

    msgpack_sbuffer_init(&buffer);
    msgpack_sbuffer_write(&buffer, (const char *)mac, sizeof(mac));
    pack_token(&buffer, token);
    crypto_auth((unsigned char *)buffer.data,
                (const unsigned char *)buffer.data + sizeof(mac),
                buffer.size - sizeof(mac), key->bytes);
    capacity = sodium_base64_ENCODED_LEN(buffer.size, BASE64);
    *out = malloc(capacity);
    if (*out != NULL) {
        sodium_bin2base64(*out, capacity, (const unsigned char *)buffer.data,
                          buffer.size, BASE64);
    }
    msgpack_sbuffer_destroy(&buffer);
    return *out ? PPS_OK
                : pps_error_set(PPS_ENOMEM, "session token: out of memory");
}

static int
unpack_token(pps_session_token_t *out, const uint8_t *data, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = PPS_EREFUSED;

    if (pps_msgpack_unpack(&unpacked, data, size) == PPS_OK) {
        pps_pack_open(&cursor, &unpacked.data);
        if (pps_pack_read_u64(&cursor) == TOKEN_FORMAT) {
            pps_pack_read_text(&cursor, out->workspace,
                               sizeof(out->workspace));
            pps_pack_read_text(&cursor, out->session, sizeof(out->session));
            pps_pack_read_text(&cursor, out->version, sizeof(out->version));
            out->expires_us = pps_pack_read_i64(&cursor);
            error = pps_pack_finish(&cursor) < 0 ? PPS_EREFUSED : PPS_OK;
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    return error;
}

static int
is_authentic(const uint8_t *data, size_t size, const pps_session_key_t *keys,
             size_t key_count)
{
    for (size_t i = 0; i < key_count; i++) {
        if (crypto_auth_verify(data, data + crypto_auth_BYTES,
                               size - crypto_auth_BYTES, keys[i].bytes) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Verifies the token before decoding any of its contents. */
static int
read_token(pps_session_token_t *out, const char *text,
           const pps_session_key_t *keys, size_t key_count)
{
    uint8_t data[PPS_SESSION_TOKEN_MAX];
    size_t size;

    if (sodium_base642bin(data, sizeof(data), text, strlen(text), NULL, &size,
                          NULL, BASE64) != 0 ||
        size <= crypto_auth_BYTES ||
        !is_authentic(data, size, keys, key_count)) {
        return PPS_EREFUSED;
    }
    return unpack_token(out, data + crypto_auth_BYTES,
                        size - crypto_auth_BYTES);
}

int
pps_session_token_open(pps_session_token_t *out, const char *text,
                       const char *workspace, int64_t now_us,
                       const pps_session_key_t *keys, size_t key_count)
{
    if (read_token(out, text, keys, key_count) < 0) {
        return pps_error_set(
            PPS_EREFUSED, "the session token is malformed or not authentic");
    }
    if (strcmp(out->workspace, workspace) != 0) {
        return pps_error_set(PPS_EREFUSED,
                             "the session token is for another workspace");
    }
    if (now_us >= out->expires_us) {
        return pps_error_set(PPS_EEXPIRED, "the session token has expired");
    }
    return PPS_OK;
}
