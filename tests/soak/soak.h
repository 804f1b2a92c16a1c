/**
 * @file soak.h
 * @brief A randomized soak: real hosts as processes of their own, before
 * stand-ins of the store and of workers that live in this program, with faults
 * injected from outside by a loopback proxy and by signals.
 */
#ifndef PPS_TESTS_SOAK_SOAK_H
#define PPS_TESTS_SOAK_SOAK_H

#include "rng.h"
#include "table.h"
#include "transport/http_channel.h"
#include "transport/http_server.h"

#include <sys/types.h>

#define SOAK_HOSTS_MAX 200
#define SOAK_WORKERS 5
#define SOAK_TEXT 64

/** How a proxy treats what passes it. */
typedef enum {
    PROXY_PASS,
    PROXY_DELAY,   /**< bytes wait for some time */
    PROXY_SILENT,  /**< bytes are swallowed both ways */
    PROXY_ONE_WAY, /**< answers are swallowed */
    PROXY_REFUSE,  /**< connections are reset */
} proxy_mode_t;

/** A proxy before one server. */
typedef struct proxy {
    pps_reactor_t *reactor;
    uv_tcp_t listener;
    char address[SOAK_TEXT]; /**< IP:PORT to connect to */
    char target[SOAK_TEXT];
    proxy_mode_t mode;
    struct cds_list_head pairs;
} proxy_t;

/** Starts a proxy on a free port of 127.0.0.1. */
void
proxy_start(proxy_t *proxy, pps_reactor_t *reactor, const char *target);

/** Changes the mode; open connections follow it. */
void
proxy_set(proxy_t *proxy, proxy_mode_t mode);

/** The store's part that fails. */
typedef enum {
    STORE_WELL,
    STORE_BUSY,   /**< answers 503 */
    STORE_SILENT, /**< does not answer */
    STORE_LOST,   /**< writes, and loses the answer */
    STORE_SLOW,
} store_mode_t;

/** A record. */
typedef struct {
    char key[SOAK_TEXT];
    pps_buf_t value;
    int dropped; /**< the key has no value */
} record_t;

/** A keyed topic. */
typedef struct {
    char name[SOAK_TEXT];
    record_t *records;
    size_t count;
    size_t first; /**< records before it are gone for readers */
} topic_t;

#define STORE_TOPICS 8

/** The stand-in of the store. */
typedef struct store {
    pps_reactor_t *reactor;
    pps_http_server_t *server;
    pps_http_limits_t limits;
    topic_t topics[STORE_TOPICS];
    size_t topic_count;
    store_mode_t mode;
    struct cds_list_head waiting;
} store_t;

void
store_start(store_t *store, pps_reactor_t *reactor);

/** Writes as operator or worker. @param value NULL drops the key */
void
store_put(store_t *store, const char *topic, const char *key,
          const char *value);

/** Forgets the history of a topic; the newest of each key stays. */
void
store_compact(store_t *store, const char *topic);

/** What is known of one request. */
typedef struct {
    pps_table_item_t item;
    char id[SOAK_TEXT];
    int once;
    int allowed;       /**< its key is valid */
    unsigned int runs; /**< begun at a worker */
    int refused;       /**< told as not run */
} request_t;

/** What workers do wrong. */
typedef enum {
    WORKER_WELL,
    WORKER_FULL,
    WORKER_ERRORS,
    WORKER_CUTS, /**< breaks off within its answers */
    WORKER_MUTE,
} worker_mode_t;

struct soak;

/** A stand-in of a worker. */
typedef struct {
    struct soak *soak;
    char id[SOAK_TEXT];
    pps_http_server_t *server;
    pps_http_limits_t limits;
    proxy_t proxy;
    worker_mode_t mode;
    int listed;
    int64_t leaving_us; /**< acknowledged by a store that was well; 0: no */
    unsigned int sequence;
} worker_t;

void
worker_start(worker_t *worker, struct soak *soak, int index);

/** Writes the worker's entry, or drops it. */
void
worker_beat(worker_t *worker, const char *state);

/** A host's process. */
typedef struct {
    pid_t pid; /**< 0: not running */
    int paused;
    char address[SOAK_TEXT]; /**< IP number */
    char settings[192];
    int64_t calm_since_us; /**< undisturbed since then */
    int64_t start_at_us;   /**< when it is started again; 0: never */
} host_t;

/** The soak. */
typedef struct soak {
    pps_reactor_t reactor;
    pps_rng_t rng;
    uint64_t seed;
    int hosts;
    unsigned int callers_port;
    unsigned int gossip_port;
    const char *program;
    char folder[128];
    store_t store;
    proxy_t store_proxy;
    worker_t workers[SOAK_WORKERS];
    host_t host[SOAK_HOSTS_MAX];
    pps_table_t requests;
    int64_t revision;
    int64_t store_well_us; /**< undisturbed since then */
    int64_t key_gone_us;   /**< when the second key was taken away; 0: not */
    unsigned int sent;
    unsigned int served;
    unsigned int refused;
    unsigned int failed;
    unsigned int broken_promises;
    int calm; /**< no more faults: the end is checked */
    unsigned int served_calm;
    unsigned int sent_calm;
} soak_t;

/** Notes a promise that was broken. */
void
soak_broken(soak_t *soak, const char *what, const char *id);

/** The request with that id, or NULL. */
request_t *
soak_request(soak_t *soak, const char *id);

/** Writes the operator's configuration with the next revision. */
void
soak_configure(soak_t *soak);

/** Sends a random request to a random host. */
void
client_send(soak_t *soak);

/** Starts, stops and disturbs hosts. */
void
host_start(soak_t *soak, int index);
void
host_signal(soak_t *soak, int index, int number);

/** Collects the processes that have ended. */
void
host_reap(soak_t *soak);

/** Injects one random fault, or ends some. */
void
fault_inject(soak_t *soak);

/** Ends all faults. */
void
fault_end_all(soak_t *soak);

#endif
