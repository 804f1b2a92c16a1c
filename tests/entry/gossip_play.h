/**
 * @file gossip_play.h
 * @brief Plays the gossip of many hosts on a simulated clock: the state
 * machines of the protocol and a queue that delays and loses datagrams. At
 * first each host knows the addresses of all, as from the store.
 */
#ifndef PPS_TESTS_GOSSIP_PLAY_H
#define PPS_TESTS_GOSSIP_PLAY_H

#include "gossip/gossip_state.h"
#include "gossip/record_gap.h"
#include "rng.h"

#define GOSSIP_PLAY_HOSTS_MAX 600
#define GOSSIP_PLAY_RECORDS_MAX 256
/** Bytes of the IPv4 and UDP headers of a datagram. */
#define GOSSIP_PLAY_HEADER_BYTES 28

/** What happens to a host at a time. */
typedef enum {
    GOSSIP_PLAY_NOTHING,
    GOSSIP_PLAY_KILLED,
    GOSSIP_PLAY_FROZEN,
    GOSSIP_PLAY_CUT_OFF,
} gossip_play_fault_t;

typedef struct {
    unsigned int hosts;
    unsigned int domains;
    double loss; /**< share of the datagrams that are lost */
    uint64_t seed;
} gossip_play_options_t;

typedef struct {
    pps_gossip_t gossip;
    pps_record_repair_t repair;
    int64_t end;       /**< of its copy of the records */
    int64_t gap_end;   /**< records below exist: a later one or a mark came */
    int64_t other_end; /**< the furthest that another host has stated */
    int64_t behind_since_us;
    int64_t read_us; /**< its last read of the store */
    int64_t next_read_us;
    int64_t next_state_us;
    int64_t next_relay_us;
    int64_t mark_due_us; /**< 0: none */
    gossip_play_fault_t fault;
    int64_t fault_end_us;
    int64_t last_delay_us;    /**< of the last record, from its writing */
    int64_t worst_delay_us;   /**< of any record */
    unsigned int store_reads; /**< to catch up */
    unsigned int reports;     /**< received reports of leaving workers */
    uint64_t sent_bytes;
    uint64_t received_bytes;
} gossip_play_host_t;

typedef struct {
    gossip_play_options_t options;
    pps_reactor_t reactor;
    unsigned int running; /**< the host that sends or receives */
    gossip_play_host_t *hosts;
    pps_rng_t rng;
    int64_t published_us[GOSSIP_PLAY_RECORDS_MAX];
    int64_t published;
    int is_store_down; /**< no host can read it */
    struct gossip_play_queue *queue;
} gossip_play_t;

/** Creates a play at a fixed time; ends the test if memory is exhausted. */
gossip_play_t *
gossip_play_new(const gossip_play_options_t *options);

void
gossip_play_free(gossip_play_t *play);

/** Runs the play for a time. */
void
gossip_play_run(gossip_play_t *play, int64_t duration_us);

/** Writes a record to the store, from where readers forward it. */
void
gossip_play_publish(gossip_play_t *play);

/** Starts to count bytes, from now. */
void
gossip_play_reset_counts(gossip_play_t *play);

/** Lets a host report that a worker is leaving. */
void
gossip_play_report_leaving(gossip_play_t *play, unsigned int host);

/** Lets something happen to a host, for a time unless it is killed. */
void
gossip_play_break(gossip_play_t *play, unsigned int host,
                  gossip_play_fault_t fault, int64_t duration_us);

/** Returns a host that is a reader now, and one that is a relay but none. */
unsigned int
gossip_play_find_reader(gossip_play_t *play);

unsigned int
gossip_play_find_relay(gossip_play_t *play);

/** Counts the hosts without a fault whose copy lacks a published record. */
unsigned int
gossip_play_count_behind(const gossip_play_t *play);

#endif
