/**
 * @file pool.h
 * @brief The workers of all upstreams as this host knows them.
 */
#ifndef PPS_POOL_POOL_H
#define PPS_POOL_POOL_H

#include "deployment/deployment.h"
#include "prefill_queue.h"
#include "table.h"

#include <urcu/list.h>

#define PPS_WORKER_TEXT_BYTES 64

/** What a worker says of itself in the list of workers. */
typedef struct {
    char id[PPS_WORKER_TEXT_BYTES];
    char upstream[PPS_WORKER_TEXT_BYTES];
    char address[PPS_WORKER_TEXT_BYTES]; /**< IP:PORT */
    char failure_domain[PPS_WORKER_TEXT_BYTES];
    char version[PPS_WORKER_TEXT_BYTES]; /**< of its software */
    unsigned int slots;
    int leaving;      /**< gets no new work */
    int64_t start_ms; /**< time of day of its start; 0: unknown */
    char models[PPS_MODELS_MAX][PPS_WORKER_TEXT_BYTES];
    size_t model_count; /**< 0: it says nothing of models */
} pps_worker_info_t;

/** A worker. Freed when it is gone from the list and no call runs there. */
typedef struct {
    struct cds_list_head node;
    pps_table_item_t item; /**< by id, while it is listed */
    pps_table_item_t digest_item;
    pps_worker_info_t info;
    int listed;
    int64_t remove_us;           /**< when it leaves the list; 0: it stays */
    unsigned int in_flight;      /**< calls of this host */
    double reported_busy;        /**< running and waiting, as it last said */
    unsigned int slots;          /**< as it last said, or as listed */
    unsigned int flight_then;    /**< in_flight when it said so */
    int64_t reported_us;         /**< 0: it has said nothing */
    double failure_share;        /**< share of late calls that failed */
    int64_t avoided_until_us;    /**< no new calls before */
    int64_t full_until_us;       /**< it said that it takes no more work */
    pps_prefill_queue_t prefill; /**< prompts it has yet to read */
    uint64_t digest;             /**< of its id */
} pps_pool_worker_t;

/** The workers. */
typedef struct pps_pool pps_pool_t;

/** How a call at a worker ended, as far as it tells of the worker. */
typedef enum {
    PPS_WORKER_SERVED,
    PPS_WORKER_FAILED,      /**< an error, a broken or malformed answer */
    PPS_WORKER_FULL,        /**< it took no more work */
    PPS_WORKER_UNREACHABLE, /**< no connection, or silence */
    PPS_WORKER_MOVED,       /**< its address belongs to another worker */
    PPS_WORKER_ABANDONED,   /**< given up for reasons of ours */
} pps_worker_outcome_t;

/** Makes an empty pool. */
int
pps_pool_new(pps_pool_t **out);

/** Frees the pool with its workers. */
void
pps_pool_free(pps_pool_t *pool);

/** Takes in a worker's newest record. A new start under a known id forgets
 * what was known of the old one. @return 1 when `leaving` was set or cleared
 * or the worker is new; else 0; PPS_ENOMEM */
int
pps_pool_put(pps_pool_t *pool, const pps_worker_info_t *info);

/** The worker has left the list. @return 1 when it was there */
int
pps_pool_remove(pps_pool_t *pool, const char *id);

/** The worker leaves the list at that time unless it is put again before. */
void
pps_pool_remove_at(pps_pool_t *pool, const char *id, int64_t when_us);

/** Removes the workers whose time has come. @return how many */
unsigned int
pps_pool_sweep(pps_pool_t *pool, int64_t now_us);

/** The listed worker with that id, or NULL. */
pps_pool_worker_t *
pps_pool_lookup(pps_pool_t *pool, const char *id);

/** The listed worker whose id has that digest, or NULL. */
pps_pool_worker_t *
pps_pool_lookup_digest(pps_pool_t *pool, uint64_t digest);

/** All workers, those included that have left while calls run there. */
struct cds_list_head *
pps_pool_workers(pps_pool_t *pool);

/** Listed workers. */
size_t
pps_pool_count(const pps_pool_t *pool);

/** Requests running and waiting there, by what it said and what was sent
 * since. @param hosts number of hosts that send to it */
double
pps_pool_worker_busy(const pps_pool_worker_t *worker, int64_t now_us,
                     unsigned int hosts);

/** A call begins. */
void
pps_pool_begin_call(pps_pool_worker_t *worker);

/** A call has ended. The worker may be freed. */
void
pps_pool_end_call(pps_pool_t *pool, pps_pool_worker_t *worker,
                  pps_worker_outcome_t outcome, int64_t now_us);

/** The worker told its load. */
void
pps_pool_record_load(pps_pool_worker_t *worker, unsigned int running,
                     unsigned int waiting, unsigned int slots, int64_t now_us);

/** Whether the worker holds the model; one that tells nothing holds all. */
int
pps_worker_has_model(const pps_worker_info_t *info, const char *model);

#endif
