/**
 * @file harness_cluster.h
 * @brief A whole system on loopback: platform, workers, routers, a first note.
 *
 * Workspaces `ministry` (key `ministry-key`, target 0.9) and `office` (key
 * `office-key`, target 0.6) may use drafting/small-1 and drafting/large-1 and
 * the service `registry`. Verdicts come from accounts, not from timing: waits
 * have generous bounds and end early.
 */
#ifndef PPS_TESTS_HARNESS_CLUSTER_H
#define PPS_TESTS_HARNESS_CLUSTER_H

#include "harness.h"
#include "harness_forwarder.h"
#include "harness_http.h"
#include "papayaswitch/bill_reader.h"

#define CLUSTER_ROUTERS_MAX 8
#define CLUSTER_WORKERS_MAX 8

/** Longest wait for something that must come to pass, in milliseconds. */
#define CLUSTER_WAIT_MS 20000

/** What to start; zero takes the default. */
typedef struct {
    int routers;                 /**< 3 */
    int engines;                 /**< 2 */
    int services;                /**< 2 */
    const char *token_us;        /**< "2000" */
    const char *router_settings; /**< more lines, sections included, or NULL */
    const char *platform_args[6]; /**< more arguments, ended by NULL */
    int checks_fencing;           /**< of the services */
    int has_forwarders; /**< forwarders before peer ports and the platform */
} cluster_options_t;

/** Whether a process stands in the platform's list, and how. */
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
    /** Peer port that the list shows instead of the router's own, or 0. */
    int listed_peer_port[CLUSTER_ROUTERS_MAX];
    harness_process_t *engines[CLUSTER_WORKERS_MAX]; /**< ids d0, d1, ... */
    cluster_listing_t engine_listing[CLUSTER_WORKERS_MAX];
    harness_process_t *services[CLUSTER_WORKERS_MAX]; /**< ids o0, o1, ... */
    cluster_listing_t service_listing[CLUSTER_WORKERS_MAX];
    int notes;                     /**< published through cluster_publish() */
    const char *publish_timeout_s; /**< of the command; "20" */
    harness_process_t *last_command; /**< that published last */
    forwarder_t
        *peer_forwarders[CLUSTER_ROUTERS_MAX]; /**< with `has_forwarders` */
    forwarder_t *platform_forwarders[CLUSTER_ROUTERS_MAX]; /**< each router's
                                                              platform */
} cluster_t;

/** Starts all of it and waits until every router serves the first note. */
int
cluster_new(cluster_t **out, const cluster_options_t *options);

/** Kills what runs and frees. NULL is allowed. */
void
cluster_free(cluster_t *cluster);

/** The `key_hash` of a bearer key, as hexadecimal text. */
void
cluster_hash_key(char out[65], const char *key);

/** Writes the platform's list from the listings. */
int
cluster_put_hosts(cluster_t *cluster);

/** Sets what happens on all links between two routers. */
void
cluster_partition(cluster_t *cluster, int router, int other,
                  forwarder_mode_t mode);

/** Parts a router from the platform and from all other routers. */
void
cluster_isolate(cluster_t *cluster, int router, forwarder_mode_t mode);

/** Starts a router (again); the list is not changed. */
int
cluster_start_router(cluster_t *cluster, int index);

/**
 * Publishes a note whose base is the number of notes before; waits for the
 * stage (`in_force`), or only appends when `stage` is NULL.
 * @return the exit status of the command
 */
int
cluster_publish(cluster_t *cluster, const char *id, const char *body,
                const char *stage);

/** Starts the command that publishes; harness_wait() for its end. */
int
cluster_publish_begin(cluster_t *cluster, harness_process_t **out,
                      const char *id, int base, const char *body,
                      const char *stage);

/** The same with a base of one's own, whatever becomes of it. */
int
cluster_publish_at(cluster_t *cluster, const char *id, int base,
                   const char *body, const char *stage);

/** Changes faults of a stand-in; JSON text. @return the HTTP status */
int
cluster_set_faults(const harness_process_t *process, const char *json);

/** One chat; NULL leaves a header out. */
typedef struct {
    int router;
    const char *key; /**< bearer key; NULL: office-key */
    const char *request_id;
    const char *session;
    const char *token; /**< X-Session-Token */
    int stream;
    int max_tokens; /**< 0: 8 */
    const char *prompt;
    size_t
        abort_after_bytes; /**< 0, or: leaves once so much of the body came */
} cluster_chat_t;

/** Sends a chat and waits for its end. */
void
cluster_chat(harness_reply_t *reply, cluster_t *cluster,
             const cluster_chat_t *chat);

/** Posts a release with an idempotency key; `body` NULL sends `{}`. */
void
cluster_release(harness_reply_t *reply, cluster_t *cluster, int router,
                const char *key, const char *body);

/** The `error.code` of a reply; "" when there is none. */
const char *
cluster_error_code(const harness_reply_t *reply);

/** The `error.run` of a reply; "" when there is none. */
const char *
cluster_error_run(const harness_reply_t *reply);

/** A response header's value in a reply; the caller frees it; NULL: none. */
char *
cluster_header(const harness_reply_t *reply, const char *name);

/** How often an act of `office` was run, over all services. */
json_int_t
cluster_run_count(cluster_t *cluster, const char *key);

/** The status of a router; NULL when it does not answer. */
json_t *
cluster_status(cluster_t *cluster, int router);

/** Whether a router serves. */
int
cluster_is_serving(cluster_t *cluster, int router);

/** Reads the log's bills, each once. @return 0 or a negative error */
int
cluster_bills(cluster_t *cluster, pps_bill_reading_t *out);

/** Sums the bills of a workspace; zeros when it has none. */
int
cluster_bill_sum(cluster_t *cluster, const char *workspace,
                 pps_bill_sum_t *out);

/** Events of a kind on a router, as a JSON array. */
json_t *
cluster_events(cluster_t *cluster, int router, const char *kind);

/** Polls until `holds(cluster, user)`. @return whether it came to hold */
int
cluster_wait(cluster_t *cluster, int (*holds)(cluster_t *, void *),
             void *user);

/** Waits until a router serves (1) or ceases to (0). */
int
cluster_wait_serving(cluster_t *cluster, int router, int serves);

/** Waits until the log has so many bills. @return whether it came to hold */
int
cluster_wait_bills(cluster_t *cluster, json_int_t bills);

#endif
