/** @file gossip_rollout_codec.h @brief Encodes and decodes one roll-out inside
 * a datagram. */
#ifndef PPS_GOSSIP_GOSSIP_ROLLOUT_CODEC_H
#define PPS_GOSSIP_GOSSIP_ROLLOUT_CODEC_H

#include "cursor.h"
#include "gossip.h"

#include <msgpack.h>

/** Appends a roll-out. Its start time becomes an age. */
void
pps_gossip_pack_rollout(msgpack_packer *packer,
                        const pps_gossip_rollout_t *item, int64_t now_us);

/** Reads the next roll-out of a list, which fails if it is malformed. Its age
 * becomes a start time on this host's clock. */
void
pps_gossip_read_rollout(pps_gossip_rollout_t *out, pps_cursor_t *list,
                        int64_t now_us);

#endif
