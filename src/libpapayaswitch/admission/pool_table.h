/**
 * @file pool_table.h
 * @brief Admission and retry budget of every upstream, by its name.
 *
 * Pools are made when they are first met. Safe from any thread.
 */
#ifndef PPS_ADMISSION_POOL_TABLE_H
#define PPS_ADMISSION_POOL_TABLE_H

#include "papayaswitch/admission.h"
#include "papayaswitch/worker_view.h"

/** Pools of one host. */
typedef struct pps_pool_table pps_pool_table_t;

/** One upstream's pool; lives as long as the table. */
typedef struct pps_pool pps_pool_t;

/** Hands a pool's usage to the other hosts. */
typedef void (*pps_pool_on_usage_t)(const char *upstream,
                                    const pps_usage_t *usage, size_t count,
                                    void *user);

int
pps_pool_table_new(pps_pool_table_t **out);

/** No request may be inside. NULL is allowed. */
void
pps_pool_table_free(pps_pool_table_t *table);

/** The pool of an upstream; NULL only when memory has run out. */
pps_pool_t *
pps_pool_table_get(pps_pool_table_t *table, const char *upstream);

/** Recomputes capacities and shares, then tells usages; control thread. */
void
pps_pool_table_tick(pps_pool_table_t *table, const pps_worker_view_t *workers,
                    int64_t now_us, pps_pool_on_usage_t tell, void *user);

/** Takes in another host's usage of an upstream. */
int
pps_pool_table_update_peer(pps_pool_table_t *table, const char *upstream,
                           const char *host, const pps_usage_t *usage,
                           size_t count, int64_t now_us);

/**
 * Admits a request of the workspace, or says when to come back.
 * @return as pps_admission_enter()
 */
int
pps_pool_enter(pps_pool_t *pool, const pps_workspace_t *workspace,
               pps_priority_t priority, int64_t deadline_us, pps_rng_t *rng,
               int64_t *retry_after_us);

/** Ends a request that was admitted and took so long. */
void
pps_pool_leave(pps_pool_t *pool, const char *workspace, int64_t took_us,
               int succeeded);

/** Whether one more attempt after a failure is within the budget. */
int
pps_pool_take_retry(pps_pool_t *pool);

#endif
