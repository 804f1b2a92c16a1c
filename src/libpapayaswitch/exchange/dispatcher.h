/**
 * @file dispatcher.h
 * @brief Routes callers' requests to workers and answers each at most once.
 *
 * Holds all routing state of one host: the deployment in force, the workers,
 * roll-outs, limits and active exchanges. Use on the reactor's thread only.
 */
#ifndef PPS_EXCHANGE_DISPATCHER_H
#define PPS_EXCHANGE_DISPATCHER_H

#include "body_gate.h"
#include "call.h"
#include "deployment/deployment.h"
#include "deployment/region_map.h"
#include "evacuated_domains.h"
#include "hedge/hedge_delay.h"
#include "hedge/hedge_limit.h"
#include "hedge/hedge_load.h"
#include "lateness.h"
#include "memory/byte_account.h"
#include "model_cost.h"
#include "poison/poison_table.h"
#include "pool/brittle_upstream.h"
#include "pool/known_hosts.h"
#include "pool/path_state.h"
#include "pool/pool.h"
#include "pool/prefix_affinity.h"
#include "pool/reachability.h"
#include "pool/request_size.h"
#include "relay/borrow_budget.h"
#include "relay/neighbours.h"
#include "repeat_limit.h"
#include "rng.h"
#include "rollout/rollout.h"
#include "rollout/rollout_knowledge.h"
#include "rollout/usual_times.h"
#include "rollout/version_set.h"

/** Number of models of a route whose usual times are kept apart. */
#define PPS_DISPATCH_MODELS 4

/** Bytes of workers' answers that a host holds if its memory is not known. */
#define PPS_HELD_BYTES_DEFAULT (32U << 20)

/** Settings of the routing decisions. */
typedef struct {
    const char *failure_domain;      /**< of this host */
    const pps_region_map_t *regions; /**< NULL or empty: homes are not applied
                                      */
    const char *local_address; /**< IPv4 address that connections to workers
                                    leave from; NULL: any */
    double repeat_ratio; /**< repeats allowed per request, over all hosts */
    unsigned int repeat_allowance; /**< additional repeats, over all hosts */
    int64_t repeat_window_us;
    double cold_over; /**< see pps_cold_rule_t; 0: workers are never cold */
    double cold_slack;
    unsigned int confidence_min; /**< threshold on idle workers, 0 to 100 */
    double hedge_share; /**< copies per request of a caller; 0: none */
    pps_rollout_bounds_t rollout;
    size_t held_bytes_max; /**< of workers' answers, over all requests; 0:
                                PPS_HELD_BYTES_DEFAULT */
    size_t body_bytes_max; /**< of callers' requests, over all of them; 0:
                                PPS_BODY_BYTES_DEFAULT */
    int has_pressure; /**< the deployment has the contract `pressure`: hosts
                           share what they know of the workers' load */
} pps_dispatch_options_t;

/** Notice to the other hosts that a long prompt was sent to a worker. */
typedef struct {
    uint64_t worker; /**< digest of the worker's id */
    uint64_t prefix; /**< digest of shared prompt part and model; 0: none */
    double work;     /**< prompt tokens, weighted as in prefill_queue.h */
} pps_prefill_notice_t;

typedef void (*pps_prefill_notice_fn)(void *user,
                                      const pps_prefill_notice_t *notice);

/** Tells the other hosts that a worker said that it is leaving. */
typedef void (*pps_leaving_fn)(void *user, uint64_t worker_digest,
                               int64_t start_ms);

/** What a worker's answer to this host said of its limit. */
typedef struct {
    uint64_t worker;  /**< digest of the worker's id */
    int64_t start_ms; /**< of the worker that said it; 0: unknown */
    int is_named;
    double per_s;
    int64_t age_us; /**< if named, since the answer, else since its request */
} pps_limit_notice_t;

/** Tells the other hosts of a worker's limit. */
typedef void (*pps_limit_notice_fn)(void *user,
                                    const pps_limit_notice_t *notice);

/** What a brittle worker's answer to this host said. */
typedef struct {
    uint64_t worker;  /**< digest of the worker's id */
    int64_t start_ms; /**< of the worker that said it; 0: unknown */
    int is_brittle;
    int is_rejected; /**< it rejected a request */
    double held;     /**< requests at it then; 0: unknown */
    int64_t age_us;  /**< if brittle, since the answer, else since its request
                      */
    int64_t longest_tokens; /**< longest prompt known for its upstream; 0: not
                                 told */
    int is_for_older;       /**< the rejection is none: it tells hosts of older
                                 builds to send less */
} pps_brittle_notice_t;

/** Requests at a worker that a report of a rejection states if there was none:
 * it repeats what is known, for hosts of older builds. These send a worker
 * with little to do one request each unless it has rejected one lately, and
 * more than its slots lower nothing there. */
#define PPS_BRITTLE_HELD_UNKNOWN 1000000

/** Returns whether this host repeats to those of older builds what is known of
 * a brittle worker. */
typedef int (*pps_brittle_repeats_fn)(void *user,
                                      const pps_pool_worker_t *worker);

/** Returns whether hosts of builds are live that divide permits without regard
 * to the size of requests. */
typedef int (*pps_ignores_size_fn)(void *user);

/** Tells the other hosts of a brittle worker. */
typedef void (*pps_brittle_notice_fn)(void *user,
                                      const pps_brittle_notice_t *notice);

/** Returns the hosts that may share the limit of a worker, and how many of
 * them rank before this host for it. Returns negative `before` if this host is
 * none of them. */
typedef void (*pps_limit_rank_fn)(void *user, const pps_pool_worker_t *worker,
                                  unsigned int *hosts, int *before);

/** Tells the other hosts what is known of these keys. */
typedef void (*pps_poison_notice_fn)(void *user, const uint64_t *keys,
                                     size_t count);

/** Returns whether this host tests for all whether a doubtful key is sound. */
typedef int (*pps_tests_poison_fn)(void *user);

/** Tells the other hosts whether this host reaches workers. */
typedef void (*pps_path_changed_fn)(void *user);

struct pps_dispatcher;

/** Called for each worker of a failure domain whose evacuation ends. */
typedef void (*pps_worker_back_fn)(struct pps_dispatcher *dispatcher,
                                   pps_pool_worker_t *worker);

/** State of an upstream, kept by name across deployment revisions. */
typedef struct {
    struct cds_list_head node;
    char name[PPS_WORKER_TEXT_BYTES];
    pps_repeat_limit_t repeats;
    pps_rollout_t rollout;
    pps_rollout_tally_t tally;    /**< counts of this host only */
    struct cds_list_head reports; /**< of other hosts on the active roll-out;
                                       see rollout_reports.h */
    pps_rollout_knowledge_t knowledge; /**< of the active roll-out */
    int64_t told_until_us; /**< until when other hosts are told how the
                                roll-out has ended */
    /** Of the baseline, by kind of request and model of its route. */
    pps_usual_times_t usual[PPS_ROLLOUT_KINDS][PPS_DISPATCH_MODELS];
    int64_t next_evidence_log_us;
    int64_t complete_since_us;    /**< the roll-out can be completed since then
                                       without an objection; 0: it can't */
    pps_version_set_t superseded; /**< targets of earlier roll-outs */
    pps_version_set_t rolled_back; /**< of these, those that were rolled back:
                                        they get no requests while another
                                        version can serve them */
    pps_brittle_upstream_t brittle;
    pps_longest_prompt_t longest_prompt;
    int64_t memory_tokens;     /**< of each worker; 0: unknown */
    pps_size_balance_t demand; /**< of callers, by size */
    unsigned int worker_slots; /**< of its workers, as last seen; 0: unknown */
    int states_speed; /**< its workers state how fast their machines are now */
    pps_model_cost_t cascade_cost;
    double first_byte_us; /**< smoothed time to first byte */
    pps_lateness_t lateness;
    double answer_us; /**< smoothed time to a full answer */
    double long_times_us[PPS_ROLLOUT_KINDS]; /**< from arrival to the whole
                                                   answer, by kind of request,
                                                   of those that take long; 0:
                                                   none yet */
    double long_answer_us;           /**< the same of those that take long; 0:
                                          none yet */
    pps_prefill_rate_t prefill_rate; /**< of its workers */
    pps_hedge_limit_t hedge_limit;
    pps_hedge_load_t hedge_load;
    /** By kind and size of request and model of its route. */
    pps_hedge_delay_t hedge_delays[PPS_ROLLOUT_KINDS][PPS_HEDGE_SIZES]
                                  [PPS_DISPATCH_MODELS];
} pps_upstream_state_t;

/** Request routing state of one host. */
typedef struct pps_dispatcher {
    pps_reactor_t *reactor;
    pps_pool_t *pool;
    pps_deployment_t *deployment; /**< in force; NULL until one is known */
    const pps_caller_ops_t *caller;
    const pps_worker_ops_t *worker;
    pps_dispatch_options_t options;
    pps_rng_t rng;
    unsigned int hosts; /**< live hosts that share the workers */
    int64_t stops_us;   /**< when this host ends, at the latest; 0: unknown */
    struct cds_list_head exchanges;
    size_t exchange_count;
    struct cds_list_head breaks; /**< workers being probed; crash_watch.h */
    struct cds_list_head left_calls; /**< see left_call.h */
    pps_byte_account_t held;         /**< bytes that workers have sent */
    pps_body_gate_t bodies;          /**< of callers' requests */
    pps_prefix_affinity_t prefixes;
    pps_reachability_t reach;    /**< reachability of the workers */
    pps_path_state_t paths;      /**< whether other hosts reach them */
    pps_timer_t path_timer;      /**< tries lost paths; see path_watch.h */
    int tries_paths;             /**< that timer is set */
    pps_neighbours_t neighbours; /**< take calls that this host can't */
    pps_borrow_budget_t borrows; /**< of shares that neighbours have */
    pps_evacuated_domains_t evacuated;
    pps_worker_back_fn worker_back; /**< pps_cold_gate_expect(); NULL: none */
    pps_path_changed_fn path_changed; /**< or NULL */
    pps_prefill_notice_fn notice;     /**< sends to the other hosts, or NULL */
    pps_leaving_fn leaving;           /**< sends to the other hosts, or NULL */
    pps_limit_notice_fn limit_notice; /**< sends to the other hosts, or NULL */
    pps_brittle_notice_fn brittle_notice;   /**< sends to the other hosts, or
                                                 NULL */
    pps_brittle_repeats_fn brittle_repeats; /**< NULL: never */
    pps_ignores_size_fn ignores_size;       /**< NULL: no host does */
    pps_limit_rank_fn limit_rank;       /**< NULL: this host is the only one */
    pps_poison_notice_fn poison_notice; /**< sends to the other hosts, or NULL
                                         */
    pps_tests_poison_fn tests_poison;   /**< NULL: this host is the only one */
    void *notice_user;                  /**< of these functions */
    pps_poison_table_t *poison;     /**< requests under which workers end */
    struct cds_list_head upstreams; /**< pps_upstream_state_t */
    pps_known_hosts_t known_hosts;  /**< known lately, by failure domain */
    pps_known_hosts_t permit_hosts; /**< the same over a shorter time, for
                                         permits */
    pps_http_limits_t limits;
} pps_dispatcher_t;

/** Initializes a dispatcher without a deployment. Keeps all pointers, except
 * `options` itself. @return 0 or a negative error */
int
pps_dispatcher_init(pps_dispatcher_t *dispatcher, pps_reactor_t *reactor,
                    const pps_dispatch_options_t *options,
                    const pps_caller_ops_t *caller,
                    const pps_worker_ops_t *worker);

/** Replaces the settings, from now on. */
void
pps_dispatcher_set_options(pps_dispatcher_t *dispatcher,
                           const pps_dispatch_options_t *options);

/** Puts a deployment in force unless its revision is not newer than the
 * current one's. Takes ownership of the reference.
 * @return 1 when it is in force, else 0 */
int
pps_dispatcher_deploy(pps_dispatcher_t *dispatcher,
                      pps_deployment_t *deployment);

/** Returns the state of an upstream, creating it if needed. NULL when memory
 * is exhausted. */
pps_upstream_state_t *
pps_dispatcher_upstream(pps_dispatcher_t *dispatcher, const char *name);

/** Finds the state of an upstream, or NULL. */
pps_upstream_state_t *
pps_dispatcher_find_upstream(const pps_dispatcher_t *dispatcher,
                             const char *name);

/** Returns this host's share of the repeats that all hosts may add. */
pps_repeat_bounds_t
pps_dispatcher_repeat_bounds(const pps_dispatcher_t *dispatcher);

/** Adds another host's long prompt to the worker's prefill queue and to the
 * prefix table. */
void
pps_dispatcher_on_prefill_notice(pps_dispatcher_t *dispatcher,
                                 const pps_prefill_notice_t *notice);

/** Stops new calls to a worker that another host reports as leaving.
 * @param worker_digest hash of its id @param start_ms of the worker that said
 *        it; 0: unknown */
void
pps_dispatcher_on_leaving(pps_dispatcher_t *dispatcher, uint64_t worker_digest,
                          int64_t start_ms);

/** Notes what another host was told of a worker's limit. */
void
pps_dispatcher_on_limit(pps_dispatcher_t *dispatcher,
                        const pps_limit_notice_t *notice);

/** Notes what a brittle worker said to another host. */
void
pps_dispatcher_on_brittle(pps_dispatcher_t *dispatcher,
                          const pps_brittle_notice_t *notice);

/** Adds evidence on what ends workers, and ends the requests that it shows to
 * be the cause. @param source where it comes from, for the log
 * @return whether it was new */
int
pps_dispatcher_merge_poison(pps_dispatcher_t *dispatcher,
                            const pps_poison_evidence_t *evidence,
                            const char *source);

/** Notes that an answer with these keys, which began at a time, went on. Tells
 * other hosts if this contradicts what they may know. */
void
pps_dispatcher_note_good(pps_dispatcher_t *dispatcher, const uint64_t *keys,
                         size_t count, int64_t begun_us);

/** Callbacks for the HTTP server of the callers; `user` is the dispatcher. */
extern const pps_http_server_ops_t pps_dispatcher_server_ops;

#endif
