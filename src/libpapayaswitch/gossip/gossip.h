/**
 * @file gossip.h
 * @brief What the hosts tell each other in datagrams: that they live, how new
 * their copies of the shared topics are, and what they saw of roll-outs.
 *
 * A datagram that is lost costs freshness only: each one carries the whole
 * state of its sender.
 */
#ifndef PPS_GOSSIP_GOSSIP_H
#define PPS_GOSSIP_GOSSIP_H

#include "rollout/rollout.h"
#include "transport/reactor.h"

#include <urcu/list.h>

#define PPS_GOSSIP_TEXT_BYTES 64
/** Topics whose ends are told. */
#define PPS_GOSSIP_TOPICS 3
/** Roll-outs whose evidence is told. */
#define PPS_GOSSIP_ROLLOUTS 2

/** A roll-out as a host sees it. */
typedef struct {
    pps_rollout_t rollout; /**< `started_us` on the own clock */
    pps_rollout_tally_t tally;
} pps_gossip_rollout_t;

/** What a host says of itself. */
typedef struct {
    char host_id[PPS_GOSSIP_TEXT_BYTES];
    char address[PPS_GOSSIP_TEXT_BYTES]; /**< IP number */
    uint64_t incarnation;
    char failure_domain[PPS_GOSSIP_TEXT_BYTES];
    int64_t topic_relevant_ends[PPS_GOSSIP_TOPICS]; /**< see mirror.h */
    int64_t topic_ends[PPS_GOSSIP_TOPICS]; /**< behind the last record read */
    int live;            /**< hosts that it heard of late, itself included */
    int64_t read_age_us; /**< of its last answered reads of the store; -1: it
                              does not read, or in vain */
    int leaving;
    int link_mbps; /**< of its network link; 0: unknown */
    pps_gossip_rollout_t rollouts[PPS_GOSSIP_ROLLOUTS];
    size_t rollout_count;
} pps_gossip_state_t;

/** Another host. */
typedef struct {
    struct cds_list_head node;
    pps_gossip_state_t state;
    int64_t heard_us; /**< 0: never; only its address is known */
    int64_t tried_us;
} pps_gossip_peer_t;

/** A record of a topic that other hosts should hear of. */
typedef struct {
    unsigned int topic;
    int64_t offset;
    int64_t relevant_end_before; /**< the sender's mark before this record */
    const char *key;
    size_t key_size;
    const char *value; /**< NULL: the key is gone */
    size_t size;
} pps_gossip_record_t;

/** A long prompt that went to a worker. */
typedef struct {
    uint64_t worker;
    uint64_t prefix;
    uint64_t work;
} pps_gossip_notice_t;

/** What the owner does. */
typedef struct {
    /** Fills in what is told of this host; id and address are set already. */
    void (*describe)(void *user, pps_gossip_state_t *out);
    /** A host was heard. */
    void (*heard)(void *user, const pps_gossip_peer_t *peer);
    /** A host told of a prompt; see pps_gossip_send_notice(). */
    void (*notice)(void *user, const pps_gossip_notice_t *notice);
    /** A host passes on a record. */
    void (*record)(void *user, const pps_gossip_record_t *record);
} pps_gossip_ops_t;

/** The exchange of datagrams. */
typedef struct pps_gossip pps_gossip_t;

/** Binds a datagram socket and starts. All hosts use the same port.
 * @return 0 or PPS_EIO */
int
pps_gossip_new(pps_gossip_t **out, pps_reactor_t *reactor, const char *host_id,
               const char *address, const char *failure_domain,
               unsigned int port, const pps_gossip_ops_t *ops, void *user);

/** Names a host that may be there. @param address IP number */
void
pps_gossip_add_address(pps_gossip_t *gossip, const char *address);

/** Tells all at once, because something has changed. */
void
pps_gossip_send_state(pps_gossip_t *gossip);

/** Tells live peers of a prompt; up to a fixed number of them. */
void
pps_gossip_send_notice(pps_gossip_t *gossip,
                       const pps_gossip_notice_t *notice);

/** Passes a record on to all hosts. @return 0 or PPS_ELIMIT: too large */
int
pps_gossip_send_record(pps_gossip_t *gossip,
                       const pps_gossip_record_t *record);

/** Sets the speed of this host's link, in Mbit/s. */
void
pps_gossip_set_link_speed(pps_gossip_t *gossip, int mbps);

/**
 * Whether this host is one of the few that read the store for all: of the live
 * hosts that reach it the ones with the fastest links, and of these the first
 * by id; or one that hears of none. What readers pass on goes out to all hosts
 * and must leave their link room for callers.
 */
int
pps_gossip_is_reader(const pps_gossip_t *gossip);

/** Whether this host reads the store and none goes before it. */
int
pps_gossip_is_first_reader(const pps_gossip_t *gossip);

/** Sets how old what a reader read may be for the others to rely on it. */
void
pps_gossip_set_read_age_max(pps_gossip_t *gossip, int64_t age_us);

/** Sets the time between datagrams to one peer. */
void
pps_gossip_set_period(pps_gossip_t *gossip, int64_t period_us);

/** Hosts that are live, this one included, by the widest view known. */
unsigned int
pps_gossip_count_live_hosts(const pps_gossip_t *gossip);

/** Whether a peer was heard of late. */
int
pps_gossip_is_live(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer);

/** All peers, live or not. */
struct cds_list_head *
pps_gossip_peers(pps_gossip_t *gossip);

#endif
