/**
 * @file harness_watch.h
 * @brief Looks into a running system: revisions, starts, steady callers.
 */
#ifndef PPS_TESTS_HARNESS_WATCH_H
#define PPS_TESTS_HARNESS_WATCH_H

#include "harness_cluster.h"

/** A thread that samples all revisions. */
typedef struct revision_monitor revision_monitor_t;

/** Starts to sample. */
revision_monitor_t *
revision_monitor_start(cluster_t *cluster);

/**
 * Ends it.
 * @return how often a process showed a lower revision than before, or a
 *         serving host a lower one than it had served with
 */
int
revision_monitor_stop(revision_monitor_t *watch);

/** What steady callers met. */
typedef struct {
    int whole;
    int refused;  /**< with `run: no` */
    int withheld; /**< `bill_not_safe`: no second host and no log for long */
    int other;    /**< anything else */
    char first_other[512];
} callers_result_t;

/** Threads that send chats to all routers in turn. */
typedef struct callers callers_t;

/** Starts the callers; plain and streamed chats take turns. */
callers_t *
callers_start(cluster_t *cluster);

/** Answers and refusals until now. */
int
callers_count(const callers_t *callers);

/** Ends them, once their requests have ended. */
void
callers_stop(callers_t *callers, callers_result_t *out);

/** How often the engines have started a version. */
json_int_t
cluster_started_count(cluster_t *cluster, const char *version);

/** The revision of a router; -1 when it does not answer. */
json_int_t
cluster_revision(cluster_t *cluster, int router);

/** Waits until a router has reached a revision and serves. */
int
cluster_wait_revision(cluster_t *cluster, int router, json_int_t revision);

/** The value of a counter on a router. */
long
cluster_counter(cluster_t *cluster, int router, const char *name);

#endif
