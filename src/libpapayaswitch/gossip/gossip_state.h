/** @file gossip_state.h @brief Private state shared by the gossip files. */
#ifndef PPS_GOSSIP_GOSSIP_STATE_H
#define PPS_GOSSIP_GOSSIP_STATE_H

#include "gossip.h"
#include "gossip_codec.h"
#include "gossip_forward.h"
#include "rng.h"

struct pps_gossip {
    pps_reactor_t *reactor;
    uv_udp_t udp;
    unsigned int port;
    int64_t read_age_max_us;
    pps_gossip_message_t own; /**< the datagram that this host sends */
    struct cds_list_head peers;
    size_t peer_count;
    pps_timer_t timer;
    pps_rng_t rng;
    pps_gossip_forwarding_t *forwarding;
    int64_t last_timer_us; /**< 0: not yet */
    pps_timer_t relay_timer;
    unsigned int relay_steps;
    int64_t last_digest_us;
    int is_digest_due;        /**< when the received state has been noted */
    int is_content_forwarded; /**< what is being handled goes to all hosts */
    size_t digest_start; /**< of the next digest, if one does not hold all */
    /** When a digest last listed this host as live; 0: never. */
    int64_t served_us;
    double period_scale; /**< of the state datagrams; 0: not known yet */
    /** Sends a datagram in tests without a network; NULL: over UDP. */
    void (*transmit)(void *user, const char *address,
                     const pps_buf_t *encoded);
    const pps_gossip_ops_t *ops;
    void *user;
};

/** With more peers than this, a host sends its state only to the readers and
 * its own failure domain; readers still send theirs to all. Hosts that reach
 * no workers and their helpers exchange states as well. */
#define PPS_GOSSIP_FULL_MESH_PEERS_MAX 12

/** Counts the hosts that this host considers live, itself included. */
unsigned int
pps_gossip_count_locally_live_hosts(const pps_gossip_t *gossip);

/** Number of hosts that read the store. */
#define PPS_GOSSIP_READERS 2

/** Lists the hosts that rank as readers and have read the store recently, this
 * one included. @param out at least PPS_GOSSIP_READERS entries
 * @return the count */
size_t
pps_gossip_list_readers(const pps_gossip_state_t **out,
                        const pps_gossip_t *gossip);

/** Lists the hosts that hear all others, this one included if it is one.
 * @param out at least PPS_GOSSIP_READERS entries @return the count */
size_t
pps_gossip_list_hubs(const pps_gossip_state_t **out,
                     const pps_gossip_t *gossip);

/** Checks whether a list of readers or hubs has a peer. */
int
pps_gossip_is_listed(const pps_gossip_state_t *const *readers, size_t count,
                     const pps_gossip_peer_t *peer);

/** Checks whether a peer ranks as a reader and has read the store recently. */
int
pps_gossip_is_peer_reader(const pps_gossip_t *gossip,
                          const pps_gossip_peer_t *peer);

/** Checks whether this host and a peer take calls to workers for each other: a
 * few of many hosts, in all failure domains, by a hash of both addresses that
 * is the same on both sides. */
int
pps_gossip_is_helper(const pps_gossip_t *gossip,
                     const pps_gossip_peer_t *peer);

/** Checks whether there are more peers than each sends its state to. */
int
pps_gossip_is_large(const pps_gossip_t *gossip);

/** Returns the factor by which the size of the failure domain lengthens the
 * periods of states and digests, and the liveness timeout. */
double
pps_gossip_period_scale(const pps_gossip_t *gossip);

/** Finds a peer by address, or NULL. */
pps_gossip_peer_t *
pps_gossip_find_peer(pps_gossip_t *gossip, const char *address);

/** Finds a peer by its id, or NULL. */
pps_gossip_peer_t *
pps_gossip_find_id(pps_gossip_t *gossip, uint32_t id);

/** Returns the id of an address. */
uint32_t
pps_gossip_id_of(const char *address);

/** Sends this host's state to those that need it regularly. */
void
pps_gossip_send_regular_state(pps_gossip_t *gossip);

/** Sends this host's state to a peer that was not live before, if all hosts
 * send theirs to this one: the peer may have just started, and others are not
 * told of it at once in a large fleet. */
void
pps_gossip_answer_first_state(pps_gossip_t *gossip,
                              const pps_gossip_peer_t *peer);

/** Adds a peer; NULL when there are too many or memory is exhausted. */
pps_gossip_peer_t *
pps_gossip_add_peer(pps_gossip_t *gossip, const char *address);

/** Starts the periodic datagrams of relays. */
void
pps_gossip_start_relaying(pps_gossip_t *gossip);

/** Sends a datagram to an address. */
void
pps_gossip_send_to(pps_gossip_t *gossip, const char *address,
                   const pps_buf_t *encoded);

/** Sends a datagram to all live peers. */
void
pps_gossip_send_to_live(pps_gossip_t *gossip, const pps_buf_t *encoded);

/** Decodes a datagram and calls the owner's callbacks.
 * @return 0 or PPS_ECORRUPT */
int
pps_gossip_receive(pps_gossip_t *gossip, const char *data, size_t size);

#endif
