/**
 * @file harness_cluster.h
 * @brief Runs a complete system on loopback: platform, workers and routers.
 *
 * The first note defines the workspaces `ministry` (key `ministry-key`,
 * quality target 0.9) and `office` (key `office-key`, quality target 0.6).
 * Both may use drafting/small-1, drafting/large-1 and the service `registry`.
 *
 * Tests compare bills, runs and counters, not elapsed times. A wait ends as
 * soon as its condition holds and fails only after CLUSTER_WAIT_MS.
 */
#ifndef PPS_TESTS_HARNESS_CLUSTER_H
#define PPS_TESTS_HARNESS_CLUSTER_H

#include "harness.h"
#include "harness_forwarder.h"
#include "harness_http.h"
#include "papayaswitch/bill_reader.h"

#define CLUSTER_ROUTERS_MAX 8
#define CLUSTER_WORKERS_MAX 8

/** Longest wait for an expected condition, in milliseconds. */
#define CLUSTER_WAIT_MS 20000

/** What to start; zero or NULL selects the default. */
typedef struct {
    int routers;                  /**< 3 */
    int engines;                  /**< 2 */
    int services;                 /**< 2 */
    const char *token_us;         /**< "2000" */
    const char *router_settings;  /**< lines to append, with their sections */
    const char *platform_args[6]; /**< more arguments, NULL-terminated */
    int checks_fencing;           /**< services compare fencing numbers */
    int has_forwarders; /**< forwarders in front of peer ports and platform */
} cluster_options_t;

/** State of a process in the platform's list of hosts. */
typedef enum {
    CLUSTER_LIVE,
    CLUSTER_LEAVING,
    CLUSTER_UNLISTED,
} cluster_listing_t;

/** A running system. */
typedef struct {
    harness_t *harness;
    cluster_options_t options;
    harness_process_t *platform;
    harness_process_t *routers[CLUSTER_ROUTERS_MAX]; /**< ids e0, e1, ... */
    cluster_listing_t router_listing[CLUSTER_ROUTERS_MAX];
    int router_start_count[CLUSTER_ROUTERS_MAX];
    /** Peer port that is listed instead of the router's own, or 0. */
    int listed_peer_port[CLUSTER_ROUTERS_MAX];
    harness_process_t *engines[CLUSTER_WORKERS_MAX]; /**< ids d0, d1, ... */
    cluster_listing_t engine_listing[CLUSTER_WORKERS_MAX];
    harness_process_t *services[CLUSTER_WORKERS_MAX]; /**< ids o0, o1, ... */
    cluster_listing_t service_listing[CLUSTER_WORKERS_MAX];
    int notes; /**< count published with cluster_publish() */
    const char *publish_timeout_s;   /**< of `note publish`; NULL: "20" */
    harness_process_t *last_command; /**< the last `note publish` */
    /** In front of each router's peer port; NULL without forwarders. */
    forwarder_t *peer_forwarders[CLUSTER_ROUTERS_MAX];
    /** Between each router and the platform; NULL without forwarders. */
    forwarder_t *platform_forwarders[CLUSTER_ROUTERS_MAX];
} cluster_t;

/** Starts the system and waits until every router serves with the first note
 * and knows all workers. @return 0 or a negative error */
int
cluster_new(cluster_t **out, const cluster_options_t *options);

/** Kills the processes and frees the system. NULL is allowed. */
void
cluster_free(cluster_t *cluster);

/** Computes the `key_hash` of a bearer key, as hexadecimal text. */
void
cluster_hash_key(char out[65], const char *key);

/** Replaces the platform's list of hosts by the current listings. */
int
cluster_put_hosts(cluster_t *cluster);

/** Sets the mode of all links between two routers. */
void
cluster_partition(cluster_t *cluster, int router, int other,
                  forwarder_mode_t mode);

/** Sets the mode of a router's links to the platform and all routers. */
void
cluster_isolate(cluster_t *cluster, int router, forwarder_mode_t mode);

/** Starts or restarts a router; the list of hosts is not updated. */
int
cluster_start_router(cluster_t *cluster, int index);

/**
 * Publishes a note whose base is the number of notes published before. Waits
 * for the stage (`in_force`); without a stage it only appends the note.
 * @return the exit status of the command
 */
int
cluster_publish(cluster_t *cluster, const char *id, const char *body,
                const char *stage);

/** Starts the publishing command; harness_wait() waits for its end. */
int
cluster_publish_begin(cluster_t *cluster, harness_process_t **out,
                      const char *id, int base, const char *body,
                      const char *stage);

/** Publishes a note with the given base, which may be rejected.
 * @return the exit status of the command */
int
cluster_publish_at(cluster_t *cluster, const char *id, int base,
                   const char *body, const char *stage);

/** Changes the faults of a stand-in, given as JSON. @return HTTP status */
int
cluster_set_faults(const harness_process_t *process, const char *json);

/** A chat; a header whose value is NULL is not sent. */
typedef struct {
    int router;
    const char *key; /**< bearer key; NULL: office-key */
    const char *request_id;
    const char *session;
    const char *token; /**< X-Session-Token */
    int stream;
    int max_tokens; /**< 0: 8 */
    const char *prompt;
    /** Body bytes after which the connection is closed; 0: no limit. */
    size_t abort_after_bytes;
} cluster_chat_t;

/** Sends a chat and waits for the end of its answer. */
void
cluster_chat(harness_reply_t *reply, cluster_t *cluster,
             const cluster_chat_t *chat);

/** Posts a release with an idempotency key; `body` NULL sends `{}`. */
void
cluster_release(harness_reply_t *reply, cluster_t *cluster, int router,
                const char *key, const char *body);

/** Returns the `error.code` of a reply, or "". */
const char *
cluster_error_code(const harness_reply_t *reply);

/** Returns the `error.run` of a reply, or "". */
const char *
cluster_error_run(const harness_reply_t *reply);

/** Returns a copy of a response header's value, or NULL; the caller frees. */
char *
cluster_header(const harness_reply_t *reply, const char *name);

/** Returns how often all services ran the release of `office` with a key. */
json_int_t
cluster_run_count(cluster_t *cluster, const char *key);

/** Returns the status of a router, or NULL when it does not answer. */
json_t *
cluster_status(cluster_t *cluster, int router);

/** Whether a router reports that it is ready. */
int
cluster_is_serving(cluster_t *cluster, int router);

/** Counts the bills in the log, without duplicates.
 * @return 0 or a negative error */
int
cluster_bills(cluster_t *cluster, pps_bill_reading_t *out);

/** Sums the bills of a workspace; all zero when it has none. */
int
cluster_bill_sum(cluster_t *cluster, const char *workspace,
                 pps_bill_sum_t *out);

/** Returns a router's events of one kind as a JSON array. */
json_t *
cluster_events(cluster_t *cluster, int router, const char *kind);

/** Polls until the condition holds. @return 0 after CLUSTER_WAIT_MS */
int
cluster_wait(cluster_t *cluster, int (*condition)(cluster_t *, void *),
             void *user);

/** Waits until a router serves (1) or does not serve (0). */
int
cluster_wait_serving(cluster_t *cluster, int router, int serves);

/** Waits until the log has this many bills. @return 0 after the timeout */
int
cluster_wait_bills(cluster_t *cluster, json_int_t bills);

#endif
