/**
 * @file harness_watch.h
 * @brief Observes a running system and sends it a constant load, for tests.
 */
#ifndef PPS_TESTS_HARNESS_WATCH_H
#define PPS_TESTS_HARNESS_WATCH_H

#include "harness_cluster.h"

/** A thread that samples the revisions of all routers. */
typedef struct revision_monitor revision_monitor_t;

/** Starts the thread. */
revision_monitor_t *
revision_monitor_start(cluster_t *cluster);

/**
 * Stops the thread and frees the monitor.
 * @return how often an incarnation reported a lower revision than before, or
 *         a serving host a lower one than it had served with
 */
int
revision_monitor_stop(revision_monitor_t *monitor);

/** Counts of the answers that the callers received. */
typedef struct {
    int whole;    /**< complete answers */
    int refused;  /**< with `run: no` */
    int withheld; /**< `bill_not_safe`: neither partner nor log was reached */
    int other;    /**< all other answers */
    char first_other[512];
} callers_result_t;

/** Threads that send chats to all routers in turn. */
typedef struct callers callers_t;

/** Starts the callers, which alternate plain and streamed chats. */
callers_t *
callers_start(cluster_t *cluster);

/** Returns the number of chats started so far. */
int
callers_count(const callers_t *callers);

/** Stops the callers after their current requests and frees them. */
void
callers_stop(callers_t *callers, callers_result_t *out);

/** Returns how many requests the engines have started with a version. */
json_int_t
cluster_started_count(cluster_t *cluster, const char *version);

/** Returns the revision of a router, or -1 when it does not answer. */
json_int_t
cluster_revision(cluster_t *cluster, int router);

/** Waits until a router has reached a revision and serves. */
int
cluster_wait_revision(cluster_t *cluster, int router, json_int_t revision);

/** Returns the value of a counter on a router, or -1 if it has none. */
long
cluster_counter(cluster_t *cluster, int router, const char *name);

#endif
