/**
 * @file session_token.h
 * @brief Seals and opens tokens in which callers carry their session's pin.
 *
 * A token lets a session keep its version while the log cannot be read. It is
 * authenticated but not encrypted.
 */
#ifndef PAPAYASWITCH_SESSION_TOKEN_H
#define PAPAYASWITCH_SESSION_TOKEN_H

#include "papayaswitch/work_record.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_SESSION_KEY_SIZE 32
/** Longest token, in bytes, before the base64 encoding. */
#define PPS_SESSION_TOKEN_MAX 1024

/** Key that authenticates tokens; equal on all hosts. */
typedef struct {
    uint8_t bytes[PPS_SESSION_KEY_SIZE];
} pps_session_key_t;

/** Contents of a token. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1];
    char version[PPS_NAME_MAX + 1];
    int64_t expires_us; /**< wall clock, as `now_us` */
} pps_session_token_t;

/** Derives a key from the secret in the settings.
 * @return 0, or PPS_EINVALID when the secret is shorter than 16 bytes */
int
pps_session_key_derive(pps_session_key_t *out, const char *secret);

/** Encodes a token as URL-safe base64; the caller frees `*out` by free(). */
int
pps_session_token_seal(char **out, const pps_session_token_t *token,
                       const pps_session_key_t *key);

/**
 * Verifies and decodes a token sealed with any of the keys, newest first. Two
 * keys are in use while the secret is rotated.
 * @return 0; PPS_EREFUSED: malformed, sealed with no known key, or for another
 *         workspace; PPS_EEXPIRED
 */
int
pps_session_token_open(pps_session_token_t *out, const char *text,
                       const char *workspace, int64_t now_us,
                       const pps_session_key_t *keys, size_t key_count);

#endif
