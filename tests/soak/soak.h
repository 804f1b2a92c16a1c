/**
 * @file soak.h
 * @brief Randomized soak test: runs real hosts as processes against stand-ins
 * of the store and the workers inside this program, and injects faults through
 * loopback proxies and signals.
 */
#ifndef PPS_TESTS_SOAK_SOAK_H
#define PPS_TESTS_SOAK_SOAK_H

#include "rng.h"
#include "table.h"
#include "transport/http_channel.h"
#include "transport/http_server.h"

#include <netinet/in.h>
#include <sys/types.h>

#define SOAK_HOSTS_MAX 200
#define SOAK_WORKER_COUNT 5
#define SOAK_TEXT_BYTES 64
/** Topic and key of the roll-out's status. */
#define SOAK_STATUS_TOPIC "keyed.status"
#define SOAK_ROLLOUT_KEY "rollout/pool"

/** How a proxy treats connections and their bytes. */
typedef enum {
    PROXY_PASS,
    PROXY_DELAY,   /**< bytes are delayed */
    PROXY_SILENT,  /**< bytes are discarded in both directions */
    PROXY_ONE_WAY, /**< bytes from the server are discarded */
    PROXY_REFUSE,  /**< connections are reset */
} proxy_mode_t;

/** A proxy for one server. */
typedef struct proxy {
    pps_reactor_t *reactor;
    uv_tcp_t *listener;
    char address[SOAK_TEXT_BYTES]; /**< IP:PORT to connect to */
    char target[SOAK_TEXT_BYTES];
    proxy_mode_t mode;
    struct in_addr cut[SOAK_HOSTS_MAX]; /**< hosts whose packets are lost */
    size_t cut_count;
    struct cds_list_head pairs;
} proxy_t;

/** Starts a proxy on a free port of 127.0.0.1. */
void
proxy_start(proxy_t *proxy, pps_reactor_t *reactor, const char *target);

/** Changes the mode, also of open connections. */
void
proxy_set_mode(proxy_t *proxy, proxy_mode_t mode);

/** Stops listening and resets all connections, as when the server has ended.
 */
void
proxy_close(proxy_t *proxy);

/** Listens again at the same address. */
void
proxy_listen(proxy_t *proxy);

/** Loses all packets from some addresses, in the kernel: connections from them
 * hang and new ones are not answered.
 * @param is_reset open connections from them are reset instead */
void
proxy_cut(proxy_t *proxy, const struct in_addr *sources, size_t count,
          int is_reset);

/** How the store fails. */
typedef enum {
    STORE_OK,
    STORE_UNAVAILABLE,    /**< responds with 503 */
    STORE_SILENT,         /**< doesn't respond */
    STORE_LOSES_RESPONSE, /**< appends, but sends no response */
    STORE_SLOW,
} store_mode_t;

/** A record of a topic. */
typedef struct {
    char key[SOAK_TEXT_BYTES];
    pps_buf_t value;
    int is_tombstone; /**< the record deletes the key */
} record_t;

/** A keyed topic. */
typedef struct {
    char name[SOAK_TEXT_BYTES];
    record_t *records;
    size_t count;
    size_t first;        /**< offset of the first record that can be read */
    size_t backup_count; /**< records that the last backup contains */
} topic_t;

#define STORE_TOPICS_MAX 8

/** The stand-in for the store. */
typedef struct store {
    pps_reactor_t *reactor;
    pps_http_server_t *server;
    pps_http_limits_t limits;
    topic_t topics[STORE_TOPICS_MAX];
    size_t topic_count;
    store_mode_t mode;
    struct cds_list_head pending_calls;
    unsigned int epoch; /**< stated in all answers */
    pps_timer_t rewrite_timer;
    topic_t lost[STORE_TOPICS_MAX]; /**< records to be written again */
    char final_status[256]; /**< first final status of the roll-out, or "" */
} store_t;

void
store_start(store_t *store, pps_reactor_t *reactor);

/** Appends a record as the operator or a worker, even while the store fails.
 * @param value NULL deletes the key */
void
store_put(store_t *store, const char *topic, const char *key,
          const char *value);

/** Makes reads of the existing records fail. Listings still return the newest
 * value of each key. */
void
store_compact(store_t *store, const char *topic);

/** Appends a record. @param value NULL deletes the key */
void
store_add_record(topic_t *topic, const char *key, size_t key_size,
                 const char *value, size_t size);

/** Forgets lost records of a key that is written anew: their writer does not
 * write an older value behind a newer one. */
void
store_forget_lost(store_t *store, const topic_t *topic, const char *key);

/** Makes a backup of all records. */
void
store_back_up(store_t *store);

/** Brings the store back from the last backup, in a higher epoch. What the
 * operator and the workers wrote since is written again soon; what the hosts
 * wrote is lost. */
void
store_restore(store_t *store);

/** Returns the newest value of a key, or NULL. */
const char *
store_get(store_t *store, const char *topic, const char *key);

/** A request that was sent, and its executions. */
typedef struct {
    pps_table_item_t item;
    char id[SOAK_TEXT_BYTES];
    int at_most_once;
    int has_valid_key;
    unsigned int run_count; /**< executions that a worker began */
    int was_refused;        /**< reported to the client as not run */
    int host;               /**< index of the host it was sent to */
    int64_t sent_us;
    int limited_worker; /**< index of the worker that answered with its limit;
                             -1: none */
    int cold_worker;    /**< index of the worker that answered that it is cold;
                             -1: none */
    int leaving_worker; /**< index of the worker that answered that it is
                             leaving; -1: none */
} request_t;

/** How a worker fails. */
typedef enum {
    WORKER_OK,
    WORKER_FULL,
    WORKER_ERRORS,
    WORKER_ABORTS, /**< breaks connections during responses */
    WORKER_SILENT,
} worker_mode_t;

struct soak;

/** Most requests in a window that a worker with a limit remembers. */
#define SOAK_LIMITED_MAX 256

/** A stand-in for a worker. */
typedef struct {
    struct soak *soak;
    char id[SOAK_TEXT_BYTES];
    pps_http_server_t *server;
    pps_http_limits_t limits;
    proxy_t proxy;
    worker_mode_t mode;
    int is_listed;
    int64_t draining_since_us; /**< 0: not draining */
    unsigned int sequence;
    int64_t start_ms;
    /* By host: when its client got an answer that says that this worker is
     * leaving; the pause that this worker asked of it, and requests in it. */
    int64_t told_leaving_us[SOAK_HOSTS_MAX];
    int64_t paused_us[SOAK_HOSTS_MAX];
    unsigned int requests_in_pause[SOAK_HOSTS_MAX];
    unsigned int limit_per_s; /**< requests a second that it takes; 0: any */
    int64_t limit_named_us;
    int64_t told_limit_us[SOAK_HOSTS_MAX]; /**< as `told_leaving_us` */
    int64_t limited_us[SOAK_LIMITED_MAX];  /**< times of requests that count */
    size_t limited_count;
    int64_t cold_until_us;                /**< 0: never cold */
    int64_t told_cold_us[SOAK_HOSTS_MAX]; /**< as `told_leaving_us` */
    int64_t cold_us[SOAK_LIMITED_MAX];    /**< times of requests that count */
    size_t cold_count;
    int rejected_per_s;   /**< while it is brittle; -1: it is not */
    unsigned int running; /**< requests that it runs */
    int is_down;          /**< it ends, or has ended */
    pps_timer_t down_timer;
} worker_t;

void
worker_start(worker_t *worker, struct soak *soak, int index);

/** Lets the worker start again: it is ready and holds nothing of before. */
void
worker_restart(worker_t *worker);

/** Starts to draw workers that name a limit, or none any more. */
void
limit_start(struct soak *soak);

/** Ends a worker's limit. */
void
limit_end(worker_t *worker);

/** Counts a worker's limit anew, after a disturbance of its connections. */
void
limit_reset(worker_t *worker);

/** Writes the header line of the worker's limit, or "". */
void
limit_write_field(char *out, size_t size, const worker_t *worker);

/** Notes that a host has passed on an answer with the worker's limit. */
void
limit_note_told(worker_t *worker, int host);

/** Counts a request and reports more than the worker's limit allows. */
void
limit_check(worker_t *worker, const request_t *request);

/** Starts to send requests under which workers end. */
void
poison_start(struct soak *soak);

/** Writes the parts of the prompt of a sound request. */
void
poison_draw_parts(struct soak *soak, char *out, size_t size);

/** Ends the worker if the request is one under which workers end.
 * @return whether it has taken the request */
int
poison_handle(worker_t *worker, pps_http_conn_t *conn,
              const pps_http_request_t *request, const request_t *recorded);

#include "soak_places.h"

/** Returns whether no worker has ended of late. */
int
poison_is_calm(const struct soak *soak);

/** Returns how often workers have ended. */
unsigned int
poison_ends(void);

/** Writes the worker's entry. @param state NULL deletes it */
void
worker_write_entry(worker_t *worker, const char *state);

/** A host's process. */
typedef struct {
    pid_t pid; /**< 0: not running */
    int is_paused;
    int is_cut;                    /**< it has no path to workers */
    char address[SOAK_TEXT_BYTES]; /**< IPv4 address */
    char settings_path[192];
    int64_t undisturbed_since_us; /**< last start or signal */
    int64_t restart_at_us;        /**< time of the next start; 0: none */
} host_t;

/** State of the soak test. */
typedef struct soak {
    pps_reactor_t reactor;
    pps_rng_t rng;
    uint64_t seed;
    int host_count;
    unsigned int callers_port;
    unsigned int gossip_port;
    const char *program;
    const char *program_before; /**< of an earlier build, which hosts run too,
                                     by the toss of a coin at each start; or
                                     NULL */
    pps_rng_t build_rng;
    char folder[128];
    store_t store;
    proxy_t store_proxy;
    worker_t workers[SOAK_WORKER_COUNT];
    host_t hosts[SOAK_HOSTS_MAX];
    pps_table_t requests;
    int64_t revision;
    int64_t store_changed_us; /**< last fault of the store, or its end */
    int64_t key2_revoked_us;  /**< when `key2` was revoked; 0: not revoked */
    unsigned int sent_count;
    unsigned int served_count;
    unsigned int refused_count;
    unsigned int failed_count;
    unsigned int violation_count;
    int in_recovery; /**< faults have ended, requests must succeed */
} soak_t;

/** Prints and counts a violated guarantee. */
void
soak_report_violation(soak_t *soak, const char *violation, const char *id);

/** Returns the request with the id, or NULL. */
request_t *
soak_find_request(soak_t *soak, const char *id);

/** Writes the operator's configuration with a higher revision. */
void
soak_publish_config(soak_t *soak);

/** Sends a random request to a random host. */
void
client_send(soak_t *soak);

/** Sends a request with a valid key to a random host.
 * @param is_stream for a stream, else one that may be repeated
 * @param parts of its prompt */
void
client_send_bad(soak_t *soak, int is_stream, const char *parts,
                const char *body);

/** Starts the process of a host. */
void
host_start(soak_t *soak, int index);
/** Sends a signal to a host's process, if it runs. */
void
host_signal(soak_t *soak, int index, int signal_number);

/** Reaps processes that have ended and restarts them after a delay. */
void
host_restart_ended(soak_t *soak);

/** Injects a random fault, publishes, or ends the store's faults. */
void
fault_inject(soak_t *soak);

/** Ends all faults. */
void
fault_end_all(soak_t *soak);

/** Starts to count what is served, as faults have ended.
 * @param duration_us for how long, in microseconds */
void
calm_end_begin(const soak_t *soak, int64_t duration_us);

/** Returns whether a request that was sent then is one of the calm end. */
int
calm_end_counts(const soak_t *soak, int64_t sent_us);

/** Notes a request that counts: hosts, workers and its key are as they should
 * be. */
void
calm_end_note_sent(int64_t sent_us);

/** Notes that a counted request was served. */
void
calm_end_note_served(int64_t sent_us);

/** Leaves out a counted request that a worker's end may have failed. */
void
calm_end_take_back(int64_t sent_us);

/** Prints a counted request that was not served.
 * @param status the answer's, or 0 */
void
calm_end_note_not_served(const soak_t *soak, const char *id, int64_t sent_us,
                         unsigned int status);

/** Checks that nearly all was served of what was sent once hosts had time to
 * find out that faults have ended. */
void
calm_end_check(soak_t *soak);

/** Prepares for answers of workers that are none. */
void
malformed_start(const soak_t *soak);

/** Draws whether an answer is malformed, and appends a line to its fields.
 * @param size of the buffer @return the answer's status */
unsigned int
malformed_spoil(char *fields, size_t size, const soak_t *soak);

#endif
