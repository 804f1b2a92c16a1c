/**
 * @file frame.h
 * @brief Frames of the peer protocol: encoding and decoding, no I/O.
 *
 * A frame is a 4-byte big-endian length of the body, the body, and a MAC of
 * the body. The body is the msgpack array format number, kind, sequence
 * number, payload. The MAC is checked before the body is parsed.
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
/** Largest payload, in bytes. */
#define PPS_FRAME_PAYLOAD_MAX ((1 << 20) + 256)
/** Largest body: the payload and what msgpack puts around it. */
#define PPS_FRAME_BODY_MAX (PPS_FRAME_PAYLOAD_MAX + 32)

/** A decoded frame; the payload is valid until the decoder is used again. */
typedef struct {
    uint32_t kind;
    uint64_t sequence;
    const void *payload;
    size_t size;
} pps_frame_t;

/** Takes bytes in any cuts and gives frames. */
typedef struct {
    unsigned char key[PPS_FRAME_KEY_BYTES];
    uint64_t next_sequence;
    size_t body_max; /**< bound on a body; small until the hello is seen */
    pps_buf_t bytes;
    size_t consumed; /**< bytes of the frame given last */
} pps_frame_decoder_t;

/** Appends a frame to `out`. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_frame_encode(pps_buf_t *out, const unsigned char key[PPS_FRAME_KEY_BYTES],
                 uint32_t kind, uint64_t sequence, const void *payload,
                 size_t size);

/** Starts a decoder that expects sequence number 0 first. */
void
pps_frame_decoder_init(pps_frame_decoder_t *decoder,
                       const unsigned char key[PPS_FRAME_KEY_BYTES]);

/** Changes the key for the frames that follow. */
void
pps_frame_decoder_rekey(pps_frame_decoder_t *decoder,
                        const unsigned char key[PPS_FRAME_KEY_BYTES]);

/** Frees what the decoder holds. */
void
pps_frame_decoder_clear(pps_frame_decoder_t *decoder);

/** Adds received bytes. @return 0 or PPS_ENOMEM */
int
pps_frame_decoder_feed(pps_frame_decoder_t *decoder, const void *data,
                       size_t size);

/**
 * Gives the next frame.
 * @return 1 with a frame; 0 when more bytes are needed; PPS_ELIMIT when the
 *         length is over the bound; PPS_EREFUSED when the MAC does not hold;
 *         PPS_ECONFLICT when the sequence number is not the next one;
 *         PPS_ECORRUPT when the body is malformed. After an error the
 *         connection is of no more use.
 */
int
pps_frame_decoder_next(pps_frame_decoder_t *decoder, pps_frame_t *out);

#endif
