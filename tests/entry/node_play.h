/**
 * @file node_play.h
 * @brief Plays whole hosts beside a store, workers and faults in simulated
 * time.
 *
 * The hosts run their own code. The linker puts functions of the play in place
 * of the clocks, the random seeds and the HTTP client (see CMakeLists.txt),
 * and datagrams go through the play too, which loses, doubles and delays them.
 * No process, thread or connection is used.
 */
#ifndef PPS_TESTS_ENTRY_NODE_PLAY_H
#define PPS_TESTS_ENTRY_NODE_PLAY_H

#include "node_state.h"
#include "rng.h"

#define NODE_PLAY_HOSTS_MAX 32
#define NODE_PLAY_WORKERS_MAX 24
#define NODE_PLAY_TOPICS 5
#define NODE_PLAY_TEXT_BYTES 64
/** Bytes of a description of a worker. */
#define NODE_PLAY_DESCRIPTION_BYTES 128
/** Address of the store, as in the settings of the hosts. */
#define NODE_PLAY_STORE "10.0.0.1:1"

/** How a store that is down treats a call. */
typedef enum {
    NODE_PLAY_STORE_SILENT, /**< no answer */
    NODE_PLAY_STORE_BUSY,   /**< 503 */
} node_play_refusal_t;

typedef struct {
    char key[NODE_PLAY_TEXT_BYTES];
    char *value; /**< NULL: deletes the key */
    size_t size;
} node_play_record_t;

typedef struct {
    const char *name;
    node_play_record_t *records;
    size_t count;
    size_t capacity;
    size_t first;  /**< offset of the oldest record that is kept */
    size_t backup; /**< count at the last backup */
} node_play_topic_t;

typedef struct {
    node_play_topic_t topics[NODE_PLAY_TOPICS];
    int64_t epoch;
    int64_t down_until_us;
    node_play_refusal_t refusal;
    int refuses_status; /**< writes of statuses find that the topic has grown
                         */
} node_play_store_t;

typedef struct {
    int is_running;
    int is_leaving;
    int64_t start_ms;
    unsigned int port;
    unsigned int sequence;
    int64_t next_beat_us;
    int64_t stops_us; /**< when a leaving worker stops; 0: not leaving */
    int64_t written_us;
    char stored[NODE_PLAY_DESCRIPTION_BYTES]; /**< what the store says */
    int64_t stored_us;                        /**< and since when */
    int64_t lapses_us; /**< when its entry expires in an outage; 0: never */
} node_play_worker_t;

typedef struct {
    int64_t revision;
    int evacuates;       /**< the failure domain z0 */
    int64_t rewrites_us; /**< what a restore has lost; 0: nothing */
} node_play_orders_t;

typedef struct {
    pps_node_t *node; /**< NULL: not running */
    unsigned int incarnation;
    char address[NODE_PLAY_TEXT_BYTES];
    int64_t restart_us;
    int64_t frozen_until_us;
    int64_t cut_until_us;                          /**< from the other hosts */
    int64_t store_cut_until_us;                    /**< from the store */
    int64_t wrong_since_us[NODE_PLAY_WORKERS_MAX]; /**< 0: believes what the
                                                        store says */
} node_play_host_t;

typedef struct {
    const char *name;
    unsigned int hosts;
    unsigned int domains;
    unsigned int workers;
    unsigned int restores; /**< the store comes back from backups */
} node_play_options_t;

/** What the play has found wrong; empty: nothing. */
typedef struct {
    char text[512];
} node_play_finding_t;

typedef struct {
    node_play_options_t options;
    pps_rng_t rng;
    int64_t now_us;
    int64_t wall_start_us;
    node_play_host_t hosts[NODE_PLAY_HOSTS_MAX];
    unsigned int running; /**< the host that acts */
    node_play_worker_t workers[NODE_PLAY_WORKERS_MAX];
    node_play_store_t store;
    struct node_play_event *events; /**< heap */
    size_t event_count;
    size_t event_capacity;
    uint64_t event_order;
    double loss;
    int64_t lossy_until_us;
    int64_t calm_us; /**< when the last fault has ended; 0: not yet */
    int is_still;    /**< nothing has changed for the time to agree */
    node_play_orders_t orders; /**< what the operator wrote last */
    uint64_t next_seed;
    unsigned int ports; /**< that workers have used */
    int is_logging;     /**< PPS_PLAY_LOG is set: lines name host and time */
    uint64_t missed_before; /**< records missed in the plays before */
    node_play_finding_t finding;
} node_play_t;

/** The play that runs. */
extern node_play_t *node_play;

/** Starts a play; ends the test if memory is exhausted. */
void
node_play_start(const node_play_options_t *options, uint64_t seed);

/** Ends the play. */
void
node_play_end(void);

/** Runs the play up to a time after its start. */
void
node_play_run_until(int64_t ms);

/** Returns the time since the start of the play. */
int64_t
node_play_elapsed_ms(void);

/** Returns a random time between two bounds. */
int64_t
node_play_draw_us(int64_t min_ms, int64_t max_ms);

/** Kills a host; it starts again after a time. */
void
node_play_kill(unsigned int host, int64_t down_us);

/** Ends all faults and notes the time. */
void
node_play_calm(void);

/** Lets a host act: sets its time and makes it the sender of what follows. */
void
node_play_select(unsigned int host);

/** Finds the host at an address, with a port or without; -1: none. */
int
node_play_find_address(const char *address);

/** Returns whether a host runs and is not frozen. */
int
node_play_is_awake(const node_play_host_t *host);

/** Handles the datagrams and calls that are due. */
void
node_play_deliver(void);

/** Gives the datagrams of a host to the play. */
void
node_play_connect(unsigned int host);

/** Frees the datagrams and calls under way. */
void
node_play_drop_events(void);

/** Starts the store with the topics and a configuration. */
void
node_play_store_start(void);

void
node_play_store_end(void);

/** Answers a call of a host. @return the status; 0: no answer
 * @param body of a request, or NULL */
unsigned int
node_play_store_answer(pps_buf_t *out, const char *path,
                       const pps_buf_t *body);

/** Appends a record. @param value NULL deletes the key */
void
node_play_store_append(const char *topic, const char *key, const char *value,
                       size_t size);

/** Returns the newest value of a key, or NULL. */
const char *
node_play_store_get(size_t *size, const char *topic, const char *key);

/** Notes what a later restore brings back. */
void
node_play_store_back_up(void);

/** Replaces the content by the last backup's, in a higher epoch. */
void
node_play_store_restore(void);

/** Drops all records but the newest one of each key. */
void
node_play_store_compact(void);

/** Lets the store refuse all calls for a time, in which entries may expire. */
void
node_play_store_stop(int64_t duration_us, int lapses);

/** Returns whether the store refuses all calls. */
int
node_play_store_is_down(void);

/** Lets the first workers and the operator write to the store. */
void
node_play_start_writers(void);

/** Draws the workers whose entries expire in an outage that begins. */
void
node_play_draw_lapses(int64_t duration_us);

/** Lets the operator write again what a restore has lost. */
void
node_play_write_again(void);

/** Lets the workers and the operator write to the store, and entries expire.
 */
void
node_play_step_writers(void);

/** Lets something happen to a random worker. */
void
node_play_change_worker(void);

/** Writes a new configuration, or an order to evacuate a domain. */
void
node_play_change_operator(void);

/** Compares what hosts believe with what the store says. Notes a finding when
 * they have differed for too long. */
void
node_play_compare(void);

#endif
