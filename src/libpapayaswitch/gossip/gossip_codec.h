/** @file gossip_codec.h @brief Encodes and decodes gossip datagrams. */
#ifndef PPS_GOSSIP_GOSSIP_CODEC_H
#define PPS_GOSSIP_GOSSIP_CODEC_H

#include "buf.h"
#include "gossip.h"
#include "gossip_processes.h"

#include <msgpack.h>

/** Maximum number of peer addresses in one datagram. */
#define PPS_GOSSIP_HINTS 4

/** A state datagram; its hints are addresses of live peers. */
typedef struct {
    pps_gossip_state_t state;
    char hints[PPS_GOSSIP_HINTS][PPS_GOSSIP_TEXT_BYTES];
    size_t hint_count;
} pps_gossip_message_t;

/** Kinds of datagram. */
typedef enum {
    PPS_GOSSIP_UNKNOWN,
    PPS_GOSSIP_STATE,
    PPS_GOSSIP_NOTICE,
    PPS_GOSSIP_RECORD,
    PPS_GOSSIP_LEAVING,
    PPS_GOSSIP_LIMIT,
    PPS_GOSSIP_BRITTLE,
    PPS_GOSSIP_POISON,
    PPS_GOSSIP_FORWARD,
    PPS_GOSSIP_RECORD_REQUEST,
    PPS_GOSSIP_MARK,
    PPS_GOSSIP_DIGEST,
    PPS_GOSSIP_BEACON,
    PPS_GOSSIP_STATE_REQUEST,
    PPS_GOSSIP_ROLLOUT_REPORT,
    PPS_GOSSIP_ENDED_COUNT_REPORT,
} pps_gossip_kind_t;

/** Returns the kind that the first bytes of a datagram state. */
pps_gossip_kind_t
pps_gossip_read_kind(const char *data, size_t size);

/** Appends a state datagram. Start times become ages, because the clocks of
 * hosts differ. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_state(pps_buf_t *out, const pps_gossip_message_t *message,
                        int64_t now_us);

/** Appends a notice. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_notice(pps_buf_t *out, const pps_gossip_notice_t *notice);

/** Decodes a notice. @return 0, or PPS_ECORRUPT if it is not a notice */
int
pps_gossip_decode_notice(pps_gossip_notice_t *out, const char *data,
                         size_t size);

/** Appends the report of a leaving worker. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_leaving(pps_buf_t *out, const pps_gossip_leaving_t *leaving);

/** Decodes the report of a leaving worker. @return 0, or PPS_ECORRUPT if it is
 * none */
int
pps_gossip_decode_leaving(pps_gossip_leaving_t *out, const char *data,
                          size_t size);

/** Appends the report of a worker's limit. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_limit(pps_buf_t *out, const pps_gossip_limit_t *limit);

/** Appends the report of a brittle worker. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_brittle(pps_buf_t *out, const pps_gossip_brittle_t *brittle);

/** Decodes the report of a brittle worker. @return 0, or PPS_ECORRUPT if it is
 * none */
int
pps_gossip_decode_brittle(pps_gossip_brittle_t *out, const char *data,
                          size_t size);

/** Decodes the report of a worker's limit. @return 0, or PPS_ECORRUPT if it is
 * none */
int
pps_gossip_decode_limit(pps_gossip_limit_t *out, const char *data,
                        size_t size);

/** Appends evidence on what ends workers; times become ages.
 * @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_poison(pps_buf_t *out, const pps_gossip_poison_t *poison,
                         int64_t now_us);

/** Decodes evidence on what ends workers. Items beyond the maximum number are
 * left out. @return 0, or PPS_ECORRUPT if it is none */
int
pps_gossip_decode_poison(pps_gossip_poison_t *out, const char *data,
                         size_t size, int64_t now_us);

/** Appends a record. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_record(pps_buf_t *out, const pps_gossip_record_t *record);

/** Decodes a record. @param unpacked initialized; owns the key and the value;
 * the caller destroys it, also after an error
 * @return 0, or PPS_ECORRUPT if it is not a record */
int
pps_gossip_decode_record(pps_gossip_record_t *out, msgpack_unpacked *unpacked,
                         const char *data, size_t size);

/** Appends roll-outs. Start times become ages. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_rollouts(pps_buf_t *out,
                           const pps_gossip_rollouts_t *rollouts,
                           int64_t now_us);

/** Decodes roll-outs. Items beyond the maximum number are left out.
 * @return 0, or PPS_ECORRUPT if it has none */
int
pps_gossip_decode_rollouts(pps_gossip_rollouts_t *out, const char *data,
                           size_t size, int64_t now_us);

/** Appends counts of ended processes. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_ended_counts(pps_buf_t *out,
                               const pps_gossip_ended_counts_t *counts);

/** Decodes counts of ended processes. Items beyond the maximum number are left
 * out. @return 0, or PPS_ECORRUPT if it has none */
int
pps_gossip_decode_ended_counts(pps_gossip_ended_counts_t *out,
                               const char *data, size_t size);

/** Decodes a state datagram. Ages become start times on this host's clock.
 * @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode_state(pps_gossip_message_t *out, const char *data,
                        size_t size, int64_t now_us);

#endif
