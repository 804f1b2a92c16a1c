/**
 * @file gossip_digest.h
 * @brief What a relay tells the hosts of its failure domain of the others.
 *
 * A digest lists the live hosts of the domain: the age of what was heard from
 * each, and the few facts of its state that others need. A beacon, more
 * frequent, does so for the hubs. Ages are not renewed on the way, so that a
 * host that is gone expires everywhere. A host asks the relay for the states
 * of hosts that it does not know.
 */
#ifndef PPS_GOSSIP_GOSSIP_DIGEST_H
#define PPS_GOSSIP_GOSSIP_DIGEST_H

#include "gossip_state.h"

/** Maximum number of hosts in one digest, which then has less than 1,200 B;
 * more hosts are listed in turn. */
#define PPS_GOSSIP_DIGEST_HOSTS 170
/** Maximum number of states in one request. */
#define PPS_GOSSIP_REQUEST_HOSTS 32

/** Bits of pps_gossip_digest_entry_t; one more for each topic. */
#define PPS_GOSSIP_ENTRY_LEAVING 1U
#define PPS_GOSSIP_ENTRY_TAKES_RELAYS 2U
/** Its copy of topic `i` is that of the relay. */
#define PPS_GOSSIP_ENTRY_IS_CURRENT(i) (4U << (i))

typedef struct {
    uint32_t id;
    unsigned int flags;
    int64_t age_us; /**< since its state was sent; in steps of 0.1 s, not less
                         than the actual age */
} pps_gossip_digest_entry_t;

typedef struct {
    char from[PPS_GOSSIP_TEXT_BYTES]; /**< address of the relay */
    char failure_domain[PPS_GOSSIP_TEXT_BYTES];
    int64_t topic_epochs[PPS_GOSSIP_TOPICS]; /**< of the relay's copies */
    int64_t topic_relevant_ends[PPS_GOSSIP_TOPICS];
    int64_t topic_ends[PPS_GOSSIP_TOPICS];
    pps_gossip_digest_entry_t entries[PPS_GOSSIP_DIGEST_HOSTS];
    size_t count;
} pps_gossip_digest_t;

typedef struct {
    uint32_t id;
    int64_t state_age_us;
    int64_t read_age_us; /**< as in its state */
    int live_hosts;
} pps_gossip_beacon_entry_t;

typedef struct {
    char from[PPS_GOSSIP_TEXT_BYTES];
    pps_gossip_beacon_entry_t entries[PPS_GOSSIP_READERS];
    size_t count;
} pps_gossip_beacon_t;

/** A request for the states of hosts. */
typedef struct {
    char from[PPS_GOSSIP_TEXT_BYTES];
    uint32_t ids[PPS_GOSSIP_REQUEST_HOSTS];
    size_t count;
} pps_gossip_state_request_t;

/** Appends a datagram. @return 0 or PPS_ENOMEM */
int
pps_gossip_encode_digest(pps_buf_t *out, const pps_gossip_digest_t *digest);
int
pps_gossip_encode_beacon(pps_buf_t *out, const pps_gossip_beacon_t *beacon);
int
pps_gossip_encode_state_request(pps_buf_t *out,
                                const pps_gossip_state_request_t *request);

/** Decodes a datagram. @return 0 or PPS_ECORRUPT */
int
pps_gossip_decode_digest(pps_gossip_digest_t *out, const char *data,
                         size_t size);
int
pps_gossip_decode_beacon(pps_gossip_beacon_t *out, const char *data,
                         size_t size);
int
pps_gossip_decode_state_request(pps_gossip_state_request_t *out,
                                const char *data, size_t size);

/** Lists the live hosts of the domain, from `start` on if there are more than
 * one digest holds. @return where the next digest starts */
size_t
pps_gossip_fill_digest(pps_gossip_digest_t *out, const pps_gossip_t *gossip,
                       size_t start);

/** Lists the hubs. */
void
pps_gossip_fill_beacon(pps_gossip_beacon_t *out, const pps_gossip_t *gossip);

/** Notes what a received datagram states. Sorts the entries of a digest. */
void
pps_gossip_apply_digest(pps_gossip_t *gossip, pps_gossip_digest_t *digest);
void
pps_gossip_apply_beacon(pps_gossip_t *gossip,
                        const pps_gossip_beacon_t *beacon);

/** Sends the requested states, as far as they are known. */
void
pps_gossip_answer_state_request(pps_gossip_t *gossip,
                                const pps_gossip_state_request_t *request);

/** Notes the relays of other domains that a hub has named in its state. */
void
pps_gossip_note_relays(pps_gossip_t *gossip,
                       const pps_gossip_message_t *message,
                       const pps_gossip_peer_t *sender);

/** Sends the next digest earlier if a host's new state differs in what the
 * others need soon. Called before the state is replaced. */
void
pps_gossip_note_change(pps_gossip_t *gossip, const pps_gossip_peer_t *peer,
                       const pps_gossip_state_t *state);

/** Sends a digest if a noted change requires it. */
void
pps_gossip_send_due_digest(pps_gossip_t *gossip);

/** Sends a beacon, and a digest every few calls, if this host is a relay. */
void
pps_gossip_step_relay(pps_gossip_t *gossip);

#endif
