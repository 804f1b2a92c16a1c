/** @file gossip_codec.h @brief A host's state as a datagram. */
#ifndef PPS_GOSSIP_GOSSIP_CODEC_H
#define PPS_GOSSIP_GOSSIP_CODEC_H

#include "buf.h"
#include "gossip.h"

#include <msgpack.h>

/** Addresses of other hosts that a datagram names. */
#define PPS_GOSSIP_HINTS 4

/** A datagram. */
typedef struct {
    pps_gossip_state_t state;
    char hints[PPS_GOSSIP_HINTS][PPS_GOSSIP_TEXT_BYTES];
    size_t hint_count;
} pps_gossip_message_t;

/** Encodes; start times become ages. */
int
pps_gossip_encode(pps_buf_t *out, const pps_gossip_message_t *message,
                  int64_t now_us);

/** Encodes a notice. */
int
pps_gossip_encode_notice(pps_buf_t *out, const pps_gossip_notice_t *notice);

/** Decodes a notice. @return 0 or PPS_ECORRUPT: it is none */
int
pps_gossip_decode_notice(pps_gossip_notice_t *out, const char *data,
                         size_t size);

/** Encodes a record. */
int
pps_gossip_encode_record(pps_buf_t *out, const pps_gossip_record_t *record);

/** Decodes a record. @param memory initialised; key and value live there
 * @return 0 or PPS_ECORRUPT: it is none */
int
pps_gossip_decode_record(pps_gossip_record_t *out, msgpack_unpacked *memory,
                         const char *data, size_t size);

/** Decodes; ages become start times. @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode(pps_gossip_message_t *out, const char *data, size_t size,
                  int64_t now_us);

#endif
