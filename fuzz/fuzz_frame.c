/**
 * @file fuzz_frame.c
 * @brief Fuzzes peer frames: raw bytes in pieces, bodies with a valid MAC.
 */
#include "peer/frame.h"
#include "peer/handshake.h"
#include "peer/heartbeat.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const unsigned char key[PPS_FRAME_KEY_BYTES] = {1, 2, 3};

static void
parse_payload(const void *payload, size_t size)
{
    pps_peer_hello_t hello;
    pps_host_status_t status;
    int64_t time_us;

    pps_peer_hello_decode(&hello, payload, size);
    pps_ping_decode(&time_us, payload, size);
    pps_pong_decode(&time_us, &status, payload, size);
}

static int
decode(const char *data, size_t size, size_t cut)
{
    pps_frame_decoder_t decoder;
    pps_frame_t frame;
    int frames = 0;
    int got = 0;

    pps_frame_decoder_init(&decoder, key);
    for (size_t at = 0; at < size && got >= 0; at += cut) {
        pps_frame_decoder_feed(&decoder, data + at,
                               size - at < cut ? size - at : cut);
        while ((got = pps_frame_decoder_next(&decoder, &frame)) > 0) {
            parse_payload(frame.payload, frame.size);
            frames++;
        }
    }
    pps_frame_decoder_clear(&decoder);
    return got < 0 ? got : frames;
}

/* A peer that has the key may still send an arbitrary payload. */
static void
decode_authentic(const uint8_t *data, size_t size, size_t cut)
{
    pps_buf_t bytes = PPS_BUF_INIT;

    if (pps_frame_encode(&bytes, key, 2, 0, data, size) == 0 &&
        decode(bytes.data, bytes.size, cut) != 1) {
        abort();
    }
    pps_buf_clear(&bytes);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    size_t cut;

    if (size == 0) {
        return 0;
    }
    cut = (size_t)data[0] + 1;
    parse_payload(data + 1, size - 1);
    decode((const char *)data + 1, size - 1, cut);
    decode_authentic(data + 1, size - 1, cut);
    return 0;
}
