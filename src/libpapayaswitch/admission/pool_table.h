/**
 * @file pool_table.h
 * @brief Admission state and retry budget of each upstream, by name.
 *
 * A pool is created on first use. Safe from any thread.
 */
#ifndef PPS_ADMISSION_POOL_TABLE_H
#define PPS_ADMISSION_POOL_TABLE_H

#include "papayaswitch/admission.h"
#include "papayaswitch/worker_view.h"

/** The pools of one host. */
typedef struct pps_pool_table pps_pool_table_t;

/** The pool of one upstream; valid until the table is freed. */
typedef struct pps_pool pps_pool_t;

/** Sends a pool's usage; may not use the table, which is locked. */
typedef void (*pps_pool_on_usage_t)(const char *upstream,
                                    const pps_usage_t *usage, size_t count,
                                    void *user);

/** Creates a table without pools. @return 0 or PPS_ENOMEM */
int
pps_pool_table_new(pps_pool_table_t **out);

/** Frees the table; no admitted request may remain. NULL is allowed. */
void
pps_pool_table_free(pps_pool_table_t *table);

/** Returns the pool of an upstream; NULL: out of memory or name too long. */
pps_pool_t *
pps_pool_table_get(pps_pool_table_t *table, const char *upstream);

/**
 * Recomputes capacities and shares, then calls `on_usage` for each pool
 * with usage. Called by the control thread.
 */
void
pps_pool_table_tick(pps_pool_table_t *table, const pps_worker_view_t *workers,
                    int64_t now_us, pps_pool_on_usage_t on_usage, void *user);

/** Replaces another host's usage of an upstream. */
int
pps_pool_table_update_peer(pps_pool_table_t *table, const char *upstream,
                           const char *host, const pps_usage_t *usage,
                           size_t count, int64_t now_us);

/**
 * Admits a request of the workspace, or sets the time after which to retry.
 * @return as pps_admission_enter()
 */
int
pps_pool_enter(pps_pool_t *pool, const pps_workspace_t *workspace,
               pps_priority_t priority, int64_t deadline_us, pps_rng_t *rng,
               int64_t *retry_after_us);

/** Releases a slot used for `took_us`; a success adds to the retry budget. */
void
pps_pool_leave(pps_pool_t *pool, const char *workspace, int64_t took_us,
               int succeeded);

/** Uses up one retry. @return 1, or 0 if the budget is used up */
int
pps_pool_take_retry(pps_pool_t *pool);

#endif
