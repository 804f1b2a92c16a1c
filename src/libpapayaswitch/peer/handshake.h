/**
 * @file handshake.h
 * @brief Authenticates both ends of a connection and derives its keys.
 *
 * Both sides send a hello under a key derived from the shared key. All later
 * frames use one key per direction, derived from both hellos. The first of
 * them, the confirm frame, proves that its sender is not replaying a recorded
 * hello, as a replay does not yield the session keys.
 */
#ifndef PPS_PEER_HANDSHAKE_H
#define PPS_PEER_HANDSHAKE_H

#include "papayaswitch/host.h"
#include "peer/frame.h"

#define PPS_PEER_PROTOCOL_VERSION 1
#define PPS_PEER_NONCE_BYTES 32

/** First message of either side. */
typedef struct {
    uint32_t version;
    char id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    unsigned char nonce[PPS_PEER_NONCE_BYTES];
} pps_peer_hello_t;

/** Session keys of one side of a connection. */
typedef struct {
    unsigned char send[PPS_FRAME_KEY_BYTES];
    unsigned char receive[PPS_FRAME_KEY_BYTES];
} pps_peer_keys_t;

/** Derives the key of hello frames from the shared key. */
void
pps_peer_hello_key(unsigned char out[PPS_FRAME_KEY_BYTES],
                   const unsigned char shared[PPS_FRAME_KEY_BYTES]);

/** Fills a hello and generates its nonce. */
void
pps_peer_hello_init(pps_peer_hello_t *out, const char *id,
                    uint64_t incarnation);

/** Appends the hello's payload to `out`. @return 0 or PPS_ENOMEM */
int
pps_peer_hello_encode(pps_buf_t *out, const pps_peer_hello_t *hello);

/**
 * Decodes a hello. Extra fields at the end are ignored.
 * @return 0; PPS_ECORRUPT; PPS_EINVALID for an unsupported version
 */
int
pps_peer_hello_decode(pps_peer_hello_t *out, const void *data, size_t size);

/**
 * Checks the id in the other side's hello.
 * @param expected id of the dialed host, or NULL for an inbound connection
 * @return 0, or PPS_EREFUSED for `own_id` or an unexpected id
 */
int
pps_peer_hello_check(const pps_peer_hello_t *hello, const char *own_id,
                     const char *expected);

/** Derives the session keys. `initiator` is 1 if `own` dialed. */
void
pps_peer_keys_derive(pps_peer_keys_t *out,
                     const unsigned char shared[PPS_FRAME_KEY_BYTES],
                     const pps_peer_hello_t *own,
                     const pps_peer_hello_t *other, int initiator);

#endif
