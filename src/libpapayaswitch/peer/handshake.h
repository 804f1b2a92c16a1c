/**
 * @file handshake.h
 * @brief Mutual proof of the shared key and the keys of one connection.
 *
 * Both sides send a hello under a key derived from the shared one, then all
 * further frames under a key per direction made from both hellos. The first
 * of these, the confirm, proves that its sender lives now: a recorded hello
 * gives nobody a session key.
 */
#ifndef PPS_PEER_HANDSHAKE_H
#define PPS_PEER_HANDSHAKE_H

#include "papayaswitch/host.h"
#include "peer/frame.h"

#define PPS_PEER_PROTOCOL_VERSION 1
#define PPS_PEER_NONCE_BYTES 32

/** What a side tells first. */
typedef struct {
    uint32_t version;
    char id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    unsigned char nonce[PPS_PEER_NONCE_BYTES];
} pps_peer_hello_t;

/** Keys of one connection, seen from one side. */
typedef struct {
    unsigned char send[PPS_FRAME_KEY_BYTES];
    unsigned char receive[PPS_FRAME_KEY_BYTES];
} pps_peer_keys_t;

/** The key under which hellos are sent. */
void
pps_peer_hello_key(unsigned char out[PPS_FRAME_KEY_BYTES],
                   const unsigned char shared[PPS_FRAME_KEY_BYTES]);

/** Fills a hello with a fresh nonce. */
void
pps_peer_hello_init(pps_peer_hello_t *out, const char *id,
                    uint64_t incarnation);

/** Appends the hello's payload to `out`. */
int
pps_peer_hello_encode(pps_buf_t *out, const pps_peer_hello_t *hello);

/**
 * Decodes a hello. Fields behind the known ones are skipped.
 * @return 0; PPS_ECORRUPT; PPS_EINVALID for an unsupported version
 */
int
pps_peer_hello_decode(pps_peer_hello_t *out, const void *data, size_t size);

/**
 * Judges the other side's hello.
 * @param expected the id that was dialled, or NULL when it dialled us
 * @return 0, or PPS_EREFUSED for our own id or another one than expected
 */
int
pps_peer_hello_check(const pps_peer_hello_t *hello, const char *own_id,
                     const char *expected);

/** Derives the session keys. `initiator` tells whether `own` dialled. */
void
pps_peer_keys_derive(pps_peer_keys_t *out,
                     const unsigned char shared[PPS_FRAME_KEY_BYTES],
                     const pps_peer_hello_t *own,
                     const pps_peer_hello_t *other, int initiator);

#endif
