/**
 * @file dispatcher.h
 * @brief Takes callers' requests and sees each to its one answer.
 *
 * All state of one host's traffic: what is in force, the workers, roll-outs,
 * limits, and the exchanges under way. One thread.
 */
#ifndef PPS_EXCHANGE_DISPATCHER_H
#define PPS_EXCHANGE_DISPATCHER_H

#include "call.h"
#include "deployment/deployment.h"
#include "lateness.h"
#include "pool/pool.h"
#include "pool/prefix_memory.h"
#include "pool/reach.h"
#include "repeat_limit.h"
#include "rng.h"
#include "rollout/rollout.h"

/** Upstreams whose state is kept. */
#define PPS_DISPATCH_UPSTREAMS_MAX 32

/** Settings of the decisions. */
typedef struct {
    const char *failure_domain; /**< of this host */
    double repeat_ratio;        /**< repeats for one request, all hosts */
    unsigned int repeat_more;   /**< repeats beyond that, all hosts */
    int64_t repeat_window_us;
    unsigned int confidence_min; /**< of an answer that needs no larger
                                      model, 0 to 100 */
    pps_rollout_bounds_t rollout;
} pps_dispatch_options_t;

/** What hosts tell each other when a long prompt goes to a worker. */
typedef struct {
    uint64_t worker; /**< digest of its id */
    uint64_t prefix; /**< digest of the shared part and model; 0: none */
    double work;     /**< see read_queue.h */
} pps_read_notice_t;

/** Tells the other hosts; optional. */
typedef void (*pps_read_notice_fn)(void *user,
                                   const pps_read_notice_t *notice);

/** What this host keeps of an upstream, by name, across revisions. */
typedef struct {
    char name[PPS_WORKER_TEXT_BYTES];
    pps_repeat_limit_t repeats;
    pps_rollout_t rollout;
    pps_rollout_tally_t tally; /**< seen by this host */
    double first_byte_us;      /**< smoothed time to a first byte */
    pps_lateness_t lateness;
    double answer_us;          /**< smoothed time that a call takes there */
    pps_read_rate_t read_rate; /**< of its workers */
} pps_upstream_state_t;

/** The traffic of one host. */
typedef struct {
    pps_reactor_t *reactor;
    pps_pool_t *pool;
    pps_deployment_t *deployment; /**< NULL until one is known */
    const pps_caller_ops_t *caller;
    const pps_worker_ops_t *worker;
    pps_dispatch_options_t options;
    pps_rng_t rng;
    unsigned int hosts; /**< that share the workers */
    struct cds_list_head exchanges;
    size_t exchange_count;
    pps_prefix_memory_t prefixes;
    pps_reach_t reach; /**< of the workers */
    pps_read_notice_fn notice;
    void *notice_user;
    pps_upstream_state_t upstreams[PPS_DISPATCH_UPSTREAMS_MAX];
    size_t upstream_count;
    pps_http_limits_t limits;
} pps_dispatcher_t;

/** Starts without a deployment. */
int
pps_dispatcher_init(pps_dispatcher_t *dispatcher, pps_reactor_t *reactor,
                    const pps_dispatch_options_t *options,
                    const pps_caller_ops_t *caller,
                    const pps_worker_ops_t *worker);

/** Puts a deployment in force, unless it is older than the one there. Takes
 * over the reference. @return 1 when it was taken */
int
pps_dispatcher_deploy(pps_dispatcher_t *dispatcher,
                      pps_deployment_t *deployment);

/** The state of an upstream; made when it is new. NULL when there is no room.
 */
pps_upstream_state_t *
pps_dispatcher_upstream(pps_dispatcher_t *dispatcher, const char *name);

/** This host's part of the repeats that all hosts may add. */
pps_repeat_bounds_t
pps_dispatcher_repeat_bounds(const pps_dispatcher_t *dispatcher);

/** Another host has sent a long prompt to a worker. */
void
pps_dispatcher_on_read_notice(pps_dispatcher_t *dispatcher,
                              const pps_read_notice_t *notice);

/** Functions for the server that callers connect to; `user` is the
 * dispatcher. */
extern const pps_http_server_ops_t pps_dispatcher_server_ops;

#endif
