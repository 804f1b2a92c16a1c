/**
 * @file pool.h
 * @brief The workers of all upstreams with their load and health.
 */
#ifndef PPS_POOL_POOL_H
#define PPS_POOL_POOL_H

#include "cold_start.h"
#include "deployment/deployment.h"
#include "prefill_queue.h"
#include "size_balance.h"
#include "table.h"
#include "uncounted_calls.h"
#include "worker_limit.h"
#include "worker_permits.h"

#include <urcu/list.h>

#define PPS_WORKER_TEXT_BYTES 64

/** A worker's record in the worker list. */
typedef struct {
    char id[PPS_WORKER_TEXT_BYTES];
    char upstream[PPS_WORKER_TEXT_BYTES];
    char address[PPS_WORKER_TEXT_BYTES]; /**< IP:PORT */
    char failure_domain[PPS_WORKER_TEXT_BYTES];
    char version[PPS_WORKER_TEXT_BYTES]; /**< software version */
    unsigned int slots;  /**< requests it runs at once; 0: unknown */
    int leaving;         /**< draining, gets no new requests */
    int64_t start_ms;    /**< wall-clock start time; 0: unknown */
    int64_t started_us;  /**< the same on this host's clock; 0: unknown */
    int64_t received_us; /**< receipt of the record; 0: unknown */
    int64_t cold_remaining_us; /**< time for which it stays cold, from the
                                    receipt; negative: not stated */
    char models[PPS_MODELS_MAX][PPS_WORKER_TEXT_BYTES];
    size_t model_count; /**< 0: serves any model */
} pps_worker_info_t;

/** Ends of a worker that this host saw. */
typedef struct {
    int64_t start_ms;    /**< the worker's start, as this host knew it */
    int64_t last_us;     /**< the last end by that start; 0: none */
    unsigned int number; /**< of the last end, from 0 */
} pps_worker_ends_t;

/** A worker. Freed once it is unlisted and has no calls in flight. */
typedef struct {
    struct cds_list_head node;
    pps_table_item_t item; /**< keyed by id, while listed */
    pps_table_item_t digest_item;
    pps_worker_info_t info;
    int listed;
    int64_t remove_at_us;      /**< scheduled removal; 0: none */
    unsigned int in_flight;    /**< calls from this host */
    unsigned int borrowed;     /**< of these, with the share of another host */
    unsigned int slots_held;   /**< by this host's calls with own permits, see
                                    request_size.h */
    unsigned int slots_before; /**< of these, by calls from before the hosts
                                    kept to its permits */
    pps_size_balance_t taken;  /**< of this host's permits, by size */
    int64_t large_wanted_us;   /**< when a large request last had too few
                                    permits; 0: never */
    double reported_busy;      /**< running and queued, last report */
    unsigned int reported_waiting;    /**< of these, queued */
    unsigned int slots;               /**< last reported, or as first listed */
    unsigned int in_flight_at_report; /**< at the last report */
    int64_t reported_us;              /**< time of the last report; 0: none */
    double failure_share;             /**< smoothed share of failed calls */
    int64_t avoided_until_us; /**< until then, used if no other can serve */
    int64_t full_until_us;    /**< no calls until then: it was full */
    int64_t paused_until_us;  /**< no calls until then, as it asked */
    int64_t paused_at_us;     /**< when it last asked */
    int is_pause_reported;    /**< an invalid pause was logged */
    pps_worker_limit_t limit; /**< on requests, as it named it */
    int is_limit_reported;    /**< an invalid limit was logged */
    pps_limit_share_t limit_share; /**< this host's, until `share_until_us` */
    int64_t share_until_us;
    int64_t limit_told_us;        /**< when other hosts were last told of it */
    int64_t limit_ended_us;       /**< when it ended; 0: never */
    pps_worker_permits_t permits; /**< while it is brittle */
    pps_uncounted_calls_t uncounted; /**< requests at it without a permit */
    double permits_told_held;        /**< requests at it that other hosts were
                                          last told of */
    pps_host_rank_t permit_rank;     /**< of this host, until the time below */
    int64_t permit_rank_until_us;
    int permit_ignores_size; /**< hosts that divide its permits ignore sizes;
                                  until the same time */
    int64_t permits_told_us; /**< when other hosts were last told of them */
    int64_t permits_repeated_us; /**< the same to hosts of older builds */
    int is_brittle_reported;     /**< an invalid statement was logged */
    int is_path_lost;            /**< this host does not reach it, others do */
    int64_t path_asked_us;       /**< when a neighbour was last asked for it */
    int64_t path_probed_us;      /**< when this host last tried to reach it */
    int said_leaving;            /**< it has said so itself, in an answer */
    int64_t
        said_leaving_start_ms;   /**< start time of the worker that said it */
    pps_worker_ends_t ends;      /**< as this host saw them */
    pps_cold_start_t cold;       /**< while it has just started */
    pps_prefill_queue_t prefill; /**< prompts not yet processed */
    uint64_t digest;             /**< hash of the id */
} pps_pool_worker_t;

/** The workers of all upstreams. */
typedef struct pps_pool pps_pool_t;

/** Outcome of a call, as evidence of the worker's health. */
typedef enum {
    PPS_WORKER_SERVED,
    PPS_WORKER_FAILED,      /**< error, silence, broken or invalid response */
    PPS_WORKER_FULL,        /**< refused for lack of capacity */
    PPS_WORKER_UNREACHABLE, /**< no connection */
    PPS_WORKER_MOVED,       /**< another worker answered at its address */
    PPS_WORKER_ABANDONED,   /**< ended by the deadline or the caller */
} pps_worker_outcome_t;

/** Creates an empty pool. @return 0 or PPS_ENOMEM */
int
pps_pool_new(pps_pool_t **out);

/** Frees the pool and its workers; NULL is allowed. */
void
pps_pool_free(pps_pool_t *pool);

/** Adds a worker or updates its record. A changed start time or address
 * discards its load, backlog and failures, and a pause that it asked for
 * before it started. @return 1 when the worker is new, or its start, address,
 * `leaving` or the time up to which it states to be cold changed; else 0;
 * PPS_ENOMEM */
int
pps_pool_put(pps_pool_t *pool, const pps_worker_info_t *info);

/** Removes a worker from the list. @return 1, or 0 when it isn't listed */
int
pps_pool_remove(pps_pool_t *pool, const char *id);

/** Returns whether a record contradicts newer knowledge: the worker has
 * started again since, is leaving, or was removed. Such a record is outdated
 * if it comes from a store that is behind. */
int
pps_pool_is_outdated(pps_pool_t *pool, const pps_worker_info_t *info);

/** Returns whether the worker is leaving, by its record or by its answers;
 * then it gets no new calls. */
int
pps_pool_worker_is_leaving(const pps_pool_worker_t *worker);

/** Notes that a worker said in an answer that it is leaving. This holds until
 * a record with a later start time, also if it is removed and listed again.
 * @param start_ms start time of the worker that said it; 0: unknown
 * @return 1, or 0 if that was known */
int
pps_pool_set_leaving(pps_pool_worker_t *worker, int64_t start_ms);

/** Gives the worker no calls until a time, as it asked. A longer pause that
 * was asked for before stays. */
void
pps_pool_pause(pps_pool_worker_t *worker, int64_t now_us, int64_t until_us);

/** Schedules a removal unless one is scheduled; pps_pool_put() cancels it. */
void
pps_pool_remove_at(pps_pool_t *pool, const char *id, int64_t when_us);

/** Removes the workers whose scheduled time is reached. @return the count */
unsigned int
pps_pool_sweep(pps_pool_t *pool, int64_t now_us);

/** Finds a listed worker by id, or NULL. */
pps_pool_worker_t *
pps_pool_lookup(pps_pool_t *pool, const char *id);

/** Finds a listed worker by the digest of its id, or NULL. */
pps_pool_worker_t *
pps_pool_lookup_digest(pps_pool_t *pool, uint64_t digest);

/** Returns all workers, including unlisted ones with calls in flight. */
struct cds_list_head *
pps_pool_workers(pps_pool_t *pool);

/** Returns the number of listed workers. */
size_t
pps_pool_count(const pps_pool_t *pool);

/** Estimates the requests running and queued at a worker: its last report
 * corrected by this host's calls since. Without a recent report it is the
 * calls in flight times the number of `hosts` that share the worker. */
double
pps_pool_worker_busy(const pps_pool_worker_t *worker, int64_t now_us,
                     unsigned int hosts);

/** Returns the requests per slot that are known of a worker: its last report
 * corrected by this host's calls since; without a recent report these calls
 * alone. */
double
pps_pool_worker_load(const pps_pool_worker_t *worker, int64_t now_us);

/** Notes whether this host's path to the worker is lost, while the worker is
 * sound: failures to connect to it are forgotten. */
void
pps_pool_set_path_lost(pps_pool_worker_t *worker, int is_lost);

/** Counts a new call to the worker. */
void
pps_pool_begin_call(pps_pool_worker_t *worker);

/** Updates the health by the outcome of a call that goes on. */
void
pps_pool_note_outcome(pps_pool_worker_t *worker, pps_worker_outcome_t outcome,
                      int64_t now_us);

/** Notes that the hosts keep to the worker's permits from now on. */
void
pps_pool_begin_permits(pps_pool_worker_t *worker, int64_t now_us);

/** Counts the slots that a call of this host holds. */
void
pps_pool_take_slots(pps_pool_worker_t *worker, unsigned int slots);

/** Ends that. Calls from before the permits are taken to end first. */
void
pps_pool_return_slots(pps_pool_worker_t *worker, unsigned int slots);

/** Ends a call and updates the health. Frees an unlisted, idle worker. */
void
pps_pool_end_call(pps_pool_t *pool, pps_pool_worker_t *worker,
                  pps_worker_outcome_t outcome, int64_t now_us);

/** Notes what another host saw a worker hold, if that is newer than the last
 * report. */
void
pps_pool_note_held(pps_pool_worker_t *worker, double held, int64_t at_us);

/** Records a worker's load report. @param slots 0 when not reported */
void
pps_pool_record_load(pps_pool_worker_t *worker, unsigned int running,
                     unsigned int waiting, unsigned int slots, int64_t now_us);

/** Returns whether the worker lists the model, or lists no models at all. */
int
pps_worker_has_model(const pps_worker_info_t *info, const char *model);

#endif
