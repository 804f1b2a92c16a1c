/**
 * @file frame.h
 * @brief Encodes and decodes frames of the peer protocol, without I/O.
 *
 * A frame is the length of the body in 4 bytes, big-endian, then the body and
 * its MAC. The body is a msgpack array: format number, kind, sequence number,
 * payload. The MAC is verified before the body is parsed.
 */
#ifndef PPS_PEER_FRAME_H
#define PPS_PEER_FRAME_H

#include "buf.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_FRAME_FORMAT 1
#define PPS_FRAME_KEY_BYTES 32
#define PPS_FRAME_MAC_BYTES 16
#define PPS_FRAME_LENGTH_BYTES 4
/** Maximum size of a payload, in bytes. */
#define PPS_FRAME_PAYLOAD_MAX ((1 << 20) + 256)
/** Maximum size of a body with its msgpack headers, in bytes. */
#define PPS_FRAME_BODY_MAX (PPS_FRAME_PAYLOAD_MAX + 32)

/** A decoded frame. The payload is valid until the next decoder call. */
typedef struct {
    uint32_t kind;
    uint64_t sequence;
    const void *payload;
    size_t size;
} pps_frame_t;

/** Incremental decoder of a byte stream. */
typedef struct {
    unsigned char key[PPS_FRAME_KEY_BYTES];
    uint64_t next_sequence;
    size_t body_max; /**< size limit of a body; low during the handshake */
    pps_buf_t bytes;
    size_t consumed; /**< size of the last returned frame, still in `bytes` */
} pps_frame_decoder_t;

/** Appends a frame to `out`. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_frame_encode(pps_buf_t *out, const unsigned char key[PPS_FRAME_KEY_BYTES],
                 uint32_t kind, uint64_t sequence, const void *payload,
                 size_t size);

/** Initializes a decoder whose first frame has sequence number 0. */
void
pps_frame_decoder_init(pps_frame_decoder_t *decoder,
                       const unsigned char key[PPS_FRAME_KEY_BYTES]);

/** Sets the key for all later frames. */
void
pps_frame_decoder_rekey(pps_frame_decoder_t *decoder,
                        const unsigned char key[PPS_FRAME_KEY_BYTES]);

/** Frees the buffered bytes and erases the key. */
void
pps_frame_decoder_clear(pps_frame_decoder_t *decoder);

/** Appends received bytes, of any length. @return 0 or PPS_ENOMEM */
int
pps_frame_decoder_feed(pps_frame_decoder_t *decoder, const void *data,
                       size_t size);

/**
 * Decodes the next frame.
 * @return 1 with a frame; 0 when more bytes are needed; PPS_ELIMIT when the
 *         body exceeds the limit; PPS_EREFUSED when the MAC does not match;
 *         PPS_ECONFLICT when the sequence number is not the next one;
 *         PPS_ECORRUPT when the body is malformed. Close the connection
 *         after an error.
 */
int
pps_frame_decoder_next(pps_frame_decoder_t *decoder, pps_frame_t *out);

#endif
