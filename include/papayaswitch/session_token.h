/**
 * @file session_token.h
 * @brief Token by which a caller brings its session's pin along.
 *
 * It lets a session keep its version when the log cannot be read. It is
 * authenticated, not secret.
 */
#ifndef PAPAYASWITCH_SESSION_TOKEN_H
#define PAPAYASWITCH_SESSION_TOKEN_H

#include "papayaswitch/work_record.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_SESSION_KEY_SIZE 32
/** Longest token, in bytes. */
#define PPS_SESSION_TOKEN_MAX 1024

/** Key of the tokens, alike on all hosts. */
typedef struct {
    uint8_t bytes[PPS_SESSION_KEY_SIZE];
} pps_session_key_t;

/** What a token says. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1];
    char version[PPS_NAME_MAX + 1];
    int64_t expires_us; /**< wall clock */
} pps_session_token_t;

/** Derives a key from the secret in the settings. @return 0 or PPS_EINVALID
 * when it is shorter than 16 bytes */
int
pps_session_key_derive(pps_session_key_t *out, const char *secret);

/** Writes a token as text. The caller frees `*out` with free(). */
int
pps_session_token_seal(char **out, const pps_session_token_t *token,
                       const pps_session_key_t *key);

/**
 * Reads a token that any of the keys made, the newest first: two are in use
 * while a secret is exchanged.
 * @return 0; PPS_EREFUSED: altered, not ours, or of another workspace;
 *         PPS_EEXPIRED
 */
int
pps_session_token_open(pps_session_token_t *out, const char *text,
                       const char *workspace, int64_t now_us,
                       const pps_session_key_t *keys, size_t key_count);

#endif
