/**
 * @file gossip_forward.h
 * @brief Sends datagrams to all hosts through relays, and keeps records for
 * hosts that missed them.
 */
#ifndef PPS_GOSSIP_GOSSIP_FORWARD_H
#define PPS_GOSSIP_GOSSIP_FORWARD_H

#include "gossip_codec.h"
#include "record_log.h"
#include "seen_ring.h"

/** What a host remembers of forwarded datagrams. Zero-initialized at first. */
typedef struct {
    pps_seen_ring_t seen;
    pps_record_log_t records;
    int64_t
        resumed_us; /**< when this host ran again after a freeze; 0: never */
} pps_gossip_forwarding_t;

/** A datagram on its way to all hosts. */
typedef struct {
    unsigned int duty; /**< pps_forward_duty_t of the receiver */
    char origin[PPS_GOSSIP_TEXT_BYTES]; /**< address of the first sender */
    char from_domain[PPS_GOSSIP_TEXT_BYTES];
    uint64_t id;
    const char *data; /**< the datagram that is forwarded */
    size_t size;
} pps_gossip_envelope_t;

/** A host's request for the records that it missed. */
typedef struct {
    char address[PPS_GOSSIP_TEXT_BYTES]; /**< of the requesting host */
    unsigned int topic;
    int64_t epoch;
    int64_t end; /**< of its copy */
} pps_gossip_record_request_t;

/** Appends an envelope. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_envelope(pps_buf_t *out,
                           const pps_gossip_envelope_t *envelope);

/** Decodes an envelope. @param unpacked initialized; owns the data; the caller
 * destroys it, also after an error @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode_envelope(pps_gossip_envelope_t *out,
                           msgpack_unpacked *unpacked, const char *data,
                           size_t size);

/** Appends a request for records. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_record_request(pps_buf_t *out,
                                 const pps_gossip_record_request_t *request);

/** Decodes a request for records. @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode_record_request(pps_gossip_record_request_t *out,
                                 const char *data, size_t size);

/** Appends a mark. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_mark(pps_buf_t *out, const pps_gossip_mark_t *mark);

/** Decodes a mark. @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode_mark(pps_gossip_mark_t *out, const char *data, size_t size);

/** Sends a datagram to all hosts: with few peers directly, else through
 * relays. @param id the same for copies that different hosts originate */
void
pps_gossip_send_to_all(pps_gossip_t *gossip, const pps_buf_t *encoded,
                       uint64_t id);

/** Keeps a record for hosts that missed it. */
void
pps_gossip_keep_record(pps_gossip_t *gossip, const pps_gossip_record_t *record,
                       const char *data, size_t size);

/** Handles an envelope and forwards what it holds. @return 0 or PPS_ECORRUPT
 */
int
pps_gossip_receive_envelope(pps_gossip_t *gossip, const char *data,
                            size_t size);

/** Answers a request for records. @return 0 or PPS_ECORRUPT */
int
pps_gossip_receive_record_request(pps_gossip_t *gossip, const char *data,
                                  size_t size);

#endif
