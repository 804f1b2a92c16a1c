/**
 * @file gossip.h
 * @brief Exchanges host state over UDP: liveness, offsets of the copies of
 * shared topics, and roll-out evidence.
 *
 * Each state datagram carries the sender's full state, so a lost one only
 * delays the update until the next datagram.
 */
#ifndef PPS_GOSSIP_GOSSIP_H
#define PPS_GOSSIP_GOSSIP_H

#include "poison/poison_evidence.h"
#include "rollout/rollout.h"
#include "transport/reactor.h"

#include <urcu/list.h>

#define PPS_GOSSIP_TEXT_BYTES 64
/** Number of topics whose offsets are sent. */
#define PPS_GOSSIP_TOPICS 3
/** Maximum number of roll-outs in one datagram. */
#define PPS_GOSSIP_ROLLOUTS 2
/** Maximum number of keys with evidence in one datagram. */
#define PPS_GOSSIP_POISON_ITEMS 6

/** Largest number of other hosts that are known. */
#define PPS_GOSSIP_PEERS_MAX 2048

/** What a host of an older build does not do; bits of pps_gossip_state_t. */
#define PPS_GOSSIP_LACKS_FORWARDING 1U
#define PPS_GOSSIP_LACKS_DIGESTS 2U
#define PPS_GOSSIP_LACKS_BRITTLE_UPSTREAMS 4U
#define PPS_GOSSIP_LACKS_PERMIT_SIZES 8U
#define PPS_GOSSIP_LACKS_ROLLOUT_REPORTS 16U
/** Which records are relevant depends on its own state there, so that its
 * relevant ends prove nothing. */
#define PPS_GOSSIP_LACKS_RELEVANCE_RULE 32U
#define PPS_GOSSIP_LACKS_ENDED_COUNTS 64U

/** A roll-out and the evidence that one host has collected. */
typedef struct {
    pps_rollout_t rollout; /**< `started_us` on the local clock */
    pps_rollout_tally_t tally;
    /** Of the counts of ended processes that it knows; see
     * pps_rollout_reports_digest(). */
    uint64_t ended_digest;
    int has_ended_digest; /**< hosts of older builds send none */
} pps_gossip_rollout_t;

/** What a host tells of roll-outs beside those in its state. */
typedef struct {
    char from[PPS_GOSSIP_TEXT_BYTES]; /**< address of the sender */
    pps_gossip_rollout_t items[PPS_GOSSIP_ROLLOUTS];
    size_t count;
    uint64_t incarnation; /**< of the sender; 0: of an older build */
} pps_gossip_rollouts_t;

/** The state that a host reports about itself; ages are as of sending. */
typedef struct {
    char host_id[PPS_GOSSIP_TEXT_BYTES];
    char address[PPS_GOSSIP_TEXT_BYTES]; /**< numeric IPv4 address */
    uint64_t incarnation;                /**< random per start */
    char failure_domain[PPS_GOSSIP_TEXT_BYTES];
    /** Offsets by topic; see pps_mirror_relevant_end(), pps_mirror_end(). */
    int64_t topic_relevant_ends[PPS_GOSSIP_TOPICS];
    int64_t topic_ends[PPS_GOSSIP_TOPICS];
    /** Epochs of these offsets; 0: unknown, as from hosts of older builds. */
    int64_t topic_epochs[PPS_GOSSIP_TOPICS];
    int live_hosts;      /**< hosts that it considers live, itself included */
    int64_t read_age_us; /**< of its last store reads; -1: none or failed */
    int leaving;         /**< nonzero: the host is stopping */
    int link_mbps;       /**< speed of its network link, Mbit/s; 0: unknown */
    /** The first of its roll-outs; pps_gossip_rollouts_t has the others. */
    pps_gossip_rollout_t rollouts[PPS_GOSSIP_ROLLOUTS];
    size_t rollout_count;
    int takes_relays;   /**< it takes calls to workers for other hosts; 0 also
                             from hosts of older builds */
    unsigned int lacks; /**< PPS_GOSSIP_LACKS_...; 0: the current build */
    int has_poison_digest;  /**< hosts of older builds send none */
    uint64_t poison_digest; /**< see pps_poison_table_digest() */
} pps_gossip_state_t;

/** Another host, known by its address. */
typedef struct {
    struct cds_list_head node;
    /** Digest of its address, for datagrams of many hosts. Beside the node, as
     * searches walk over all peers. */
    uint32_t id;
    pps_gossip_state_t state;
    int64_t last_received_us; /**< 0: never; only its address is known */
    int64_t last_probe_us;    /**< last datagram while not live; 0: never */
    int64_t relay_us;  /**< when it was last known to be a relay; 0: never */
    int64_t beacon_us; /**< when its last beacon came; 0: never */
} pps_gossip_peer_t;

/** A topic record that a reader relays to other hosts. */
typedef struct {
    unsigned int topic;
    int64_t offset;
    int64_t relevant_end_before; /**< the sender's, before this record */
    const char *key;
    size_t key_size;
    const char *value; /**< NULL: the key was deleted */
    size_t size;
    int64_t epoch; /**< of the offsets; 0: unknown, as from older builds */
} pps_gossip_record_t;

/** States up to where a reader has forwarded a topic's records, so that hosts
 * notice that the last ones were lost. */
typedef struct {
    unsigned int topic;
    int64_t epoch;
    int64_t relevant_end;
} pps_gossip_mark_t;

/** Announces that a host has sent a long prompt to a worker. */
typedef struct {
    uint64_t worker; /**< digest of the worker's id */
    uint64_t prefix; /**< digest of the shared prefix and model; 0: none */
    uint64_t work; /**< in tokens of the largest model; see prefill_queue.h */
} pps_gossip_notice_t;

/** Reports that a worker has said in an answer that it is leaving. */
typedef struct {
    uint64_t worker;  /**< digest of the worker's id */
    int64_t start_ms; /**< wall-clock start time of the worker; 0: unknown */
} pps_gossip_leaving_t;

/** Reports what a worker has said in an answer of the requests that it takes
 * from all hosts together. */
typedef struct {
    uint64_t worker;  /**< digest of the worker's id */
    int64_t start_ms; /**< wall-clock start time of the worker; 0: unknown */
    int is_named;     /**< it named a limit; else it named none */
    uint64_t milli_per_s; /**< requests in 1,000 s */
    int64_t age_us;       /**< if named, since the answer, else since its
                               request was sent */
} pps_gossip_limit_t;

/** Reports what a brittle worker has said in an answer. */
typedef struct {
    uint64_t worker;  /**< digest of the worker's id */
    int64_t start_ms; /**< wall-clock start time of the worker; 0: unknown */
    int is_brittle;   /**< it says so; else it no longer does */
    int is_rejected;  /**< it rejected a request for lack of room */
    uint64_t held;    /**< requests that were at it then */
    int64_t age_us;   /**< if brittle, since the answer, else since its request
                           was sent */
    int64_t longest_tokens; /**< longest prompt known for its upstream; 0: not
                                 told */
    int is_for_older;       /**< the rejection is none: it tells hosts of older
                                 builds to send less */
} pps_gossip_brittle_t;

/** Evidence on what ends workers. */
typedef struct {
    char from[PPS_GOSSIP_TEXT_BYTES]; /**< address of the sender */
    pps_poison_evidence_t items[PPS_GOSSIP_POISON_ITEMS];
    size_t count;
} pps_gossip_poison_t;

/** The hosts among which a few are chosen for a key. */
typedef struct {
    unsigned int hosts; /**< live hosts that can be chosen */
    int before;         /**< how many of them rank before this one; negative:
                             this host can't be chosen */
} pps_gossip_rank_t;

struct pps_gossip_ended_counts; /* gossip_processes.h */

/** Callbacks of the owner, on the reactor's thread. */
typedef struct {
    /** Fills in the topic offsets, the first roll-outs, `read_age_us` and
     * `leaving`. */
    void (*fill_state)(void *user, pps_gossip_state_t *out);
    /** Called after a peer's state has been received. */
    void (*on_state)(void *user, const pps_gossip_peer_t *peer);
    /** Called when a notice has been received. */
    void (*on_notice)(void *user, const pps_gossip_notice_t *notice);
    /** Called with a received record, which is valid during the call only. */
    void (*on_record)(void *user, const pps_gossip_record_t *record);
    /** Called when another host reports that a worker is leaving. */
    void (*on_leaving)(void *user, const pps_gossip_leaving_t *leaving);
    /** Called when another host reports the limit of a worker. */
    void (*on_limit)(void *user, const pps_gossip_limit_t *limit);
    /** Called when another host reports a brittle worker. */
    void (*on_brittle)(void *user, const pps_gossip_brittle_t *brittle);
    /** Called when another host sends evidence on what ends workers. */
    void (*on_poison)(void *user, const pps_gossip_poison_t *poison);
    /** Called when a reader states up to where it has forwarded records. */
    void (*on_mark)(void *user, const pps_gossip_mark_t *mark);
    /** Copies the roll-outs from number `first` on. NULL: the state has all.
     * @return the count, at most PPS_GOSSIP_ROLLOUTS */
    size_t (*fill_rollouts)(void *user, pps_gossip_rollout_t *out,
                            size_t first);
    /** Called when a peer tells of roll-outs that are not in its state. */
    void (*on_rollouts)(void *user, const pps_gossip_peer_t *peer,
                        const pps_gossip_rollouts_t *rollouts);
    /** Called when a peer hands over counts of ended processes. */
    void (*on_ended_counts)(void *user,
                            const struct pps_gossip_ended_counts *counts);
} pps_gossip_ops_t;

/** The gossip socket of one host and the peers it knows. */
typedef struct pps_gossip pps_gossip_t;

/** Binds a UDP socket to a numeric IPv4 address and starts to send state. All
 * hosts use the same port. Never freed; `reactor` and `ops` must outlive it.
 * @return 0, PPS_EIO or PPS_ENOMEM */
int
pps_gossip_new(pps_gossip_t **out, pps_reactor_t *reactor, const char *host_id,
               const char *address, const char *failure_domain,
               unsigned int port, const pps_gossip_ops_t *ops, void *user);

/** Adds a peer by numeric IPv4 address; ignores known ones and its own. */
void
pps_gossip_add_address(pps_gossip_t *gossip, const char *address);

/** Sends this host's state at once, after a change that peers need soon. */
void
pps_gossip_send_state(pps_gossip_t *gossip);

/** Sends a notice to live peers, up to a fixed number. With many peers, sends
 * it only to those of this failure domain. */
void
pps_gossip_send_notice(pps_gossip_t *gossip,
                       const pps_gossip_notice_t *notice);

/** Sends a record to all hosts, with many peers through relays.
 * @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_gossip_send_record(pps_gossip_t *gossip,
                       const pps_gossip_record_t *record);

/** Sends to all hosts up to where this host has forwarded records. Does
 * nothing with few peers, whose states show it soon enough. */
void
pps_gossip_send_mark(pps_gossip_t *gossip, const pps_gossip_mark_t *mark);

/** Asks a relay or a reader for the records of a topic from an end on, another
 * one with each attempt. They arrive as other records do.
 * @param attempt 0 first @return 0, or PPS_ENOTFOUND if no host can be asked
 */
int
pps_gossip_request_records(pps_gossip_t *gossip, unsigned int topic,
                           int64_t epoch, int64_t end, unsigned int attempt);

/** Sends to all hosts that a worker is leaving, as the reports below: with
 * many peers through relays. */
void
pps_gossip_send_leaving(pps_gossip_t *gossip,
                        const pps_gossip_leaving_t *leaving);

/** Sends to all hosts what a worker has said of its limit. */
void
pps_gossip_send_limit(pps_gossip_t *gossip, const pps_gossip_limit_t *limit);

/** Sends to all hosts what a brittle worker has said. */
void
pps_gossip_send_brittle(pps_gossip_t *gossip,
                        const pps_gossip_brittle_t *brittle);

/** Sends evidence on what ends workers to all hosts, or to one.
 * @param address of a known peer; NULL: all */
void
pps_gossip_send_poison(pps_gossip_t *gossip,
                       const pps_poison_evidence_t *items, size_t count,
                       const char *address);

/** Checks whether this host passes on evidence that is news to it and that one
 * host has sent to it only: with many hosts, the others do not hear each
 * other.
 */
int
pps_gossip_relays(const pps_gossip_t *gossip);

/**
 * Ranks this host among the live hosts for a key, by a hash of both, so that
 * all hosts choose the same few without asking each other. With many peers,
 * hosts do not know all others, and only those of the failure domain can be
 * chosen, or those that hear all others if it has no live host.
 */
pps_gossip_rank_t
pps_gossip_rank(const pps_gossip_t *gossip, uint64_t key,
                const char *failure_domain);

/** Returns whether a live host is of an older build that does not do
 * something. @param lacks PPS_GOSSIP_LACKS_... */
int
pps_gossip_has_older(const pps_gossip_t *gossip, unsigned int lacks);

/** Checks whether this host is one of the first `first` by rank for a key
 * among those of a build that does something, while a live host is of one that
 * does not. @param lacks PPS_GOSSIP_LACKS_... */
int
pps_gossip_acts_for_older(const pps_gossip_t *gossip, uint64_t key,
                          const char *failure_domain, unsigned int lacks,
                          int first);

/** The hosts that rank first for a key; see pps_gossip_rank(). */
typedef struct {
    uint64_t key;
    const char *failure_domain;
    unsigned int first; /**< so many */
} pps_gossip_choice_t;

/** Lists the live peers among the hosts that rank first for a key. Of failure
 * domains whose hosts this one does not all hear, the known ones are ranked.
 * @param max at most PPS_GOSSIP_PEERS_MAX @return the count */
size_t
pps_gossip_list_first(const pps_gossip_peer_t **out, size_t max,
                      const pps_gossip_t *gossip,
                      const pps_gossip_choice_t *choice);

/** Sets the speed of this host's link, in Mbit/s. */
void
pps_gossip_set_link_speed(pps_gossip_t *gossip, int mbps);

/**
 * Checks whether this host is a reader, one of the few that read the store and
 * relay new records to all hosts. It is one, even if its own reads fail,
 * unless enough peers that reach the store rank before it, by link speed and
 * then host id. Relaying on a fast link leaves more bandwidth for callers.
 */
int
pps_gossip_is_reader(const pps_gossip_t *gossip);

/**
 * Checks whether this host reads the store although enough hosts rank before
 * it, as some of those are of a build that does not do something. It is one of
 * the first readers among the hosts of other builds then.
 * @param lacks PPS_GOSSIP_LACKS_...
 */
int
pps_gossip_reads_beside_older(const pps_gossip_t *gossip, unsigned int lacks);

/** Checks whether all hosts send their state to this one. With many peers
 * these are the readers that reach the store; if there are none, the hosts
 * that rank first among the live ones. */
int
pps_gossip_hears_all(const pps_gossip_t *gossip);

/** Checks whether this host reaches the store and is the first reader. */
int
pps_gossip_is_first_reader(const pps_gossip_t *gossip);

/** Sets the maximum age of a peer's last read for it to count as a reader. */
void
pps_gossip_set_read_age_max(pps_gossip_t *gossip, int64_t age_us);

/** Sets the interval between state datagrams. */
void
pps_gossip_set_period(pps_gossip_t *gossip, int64_t period_us);

/** Returns the highest count of live hosts that any live host reports. */
unsigned int
pps_gossip_count_live_hosts(const pps_gossip_t *gossip);

/** Checks whether a peer's state arrived within the liveness timeout. */
int
pps_gossip_is_live(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer);

/** Returns the list of all peers (pps_gossip_peer_t), live or not. */
struct cds_list_head *
pps_gossip_peers(pps_gossip_t *gossip);

#endif
