/** @file pool_table.c @brief Table of pools with their admission state. */
#include "pool_table.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/retry_budget.h"
#include "table.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>
#include <urcu/list.h>

/** Retries added to the budget per success, and the budget's maximum. */
#define RETRY_SHARE 0.1
#define RETRY_BURST 20

/** Expected time in a slot before the first success. */
#define SERVICE_INITIAL_US PPS_US_PER_S

/** The weight of a new time in the expected time is 1 / SERVICE_SMOOTHING. */
#define SERVICE_SMOOTHING 16

/** Capacity of a pool with an unknown number of slots. */
#define SLOTS_UNLIMITED 1e9

/** Maximum number of workspaces whose usage is sent per pool. */
#define USAGES_MAX 256

struct pps_pool {
    pps_table_item_t item;
    struct cds_list_head node;
    char upstream[PPS_NAME_MAX + 1];
    pps_admission_t *admission;
    pps_retry_budget_t budget;
    _Atomic int64_t service_us; /**< expected time in a slot */
};

struct pps_pool_table {
    pthread_mutex_t lock;
    pps_table_t by_upstream;
    struct cds_list_head pools;
};

int
pps_pool_table_new(pps_pool_table_t **out)
{
    pps_pool_table_t *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return pps_error_set(PPS_ENOMEM, "pools: out of memory");
    }
    pthread_mutex_init(&table->lock, NULL);
    CDS_INIT_LIST_HEAD(&table->pools);
    *out = table;
    return PPS_OK;
}

void
pps_pool_table_free(pps_pool_table_t *table)
{
    pps_pool_t *pool;
    pps_pool_t *next;

    if (table == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (pool, next, &table->pools, node) {
        pps_table_remove(&table->by_upstream, &pool->item);
        pps_admission_free(pool->admission);
        free(pool);
    }
    pthread_mutex_destroy(&table->lock);
    free(table);
}

static pps_pool_t *
pool_new(const char *upstream)
{
    pps_pool_t *pool = calloc(1, sizeof(*pool));

    if (pool == NULL || pps_admission_new(&pool->admission) < 0) {
        free(pool);
        return NULL;
    }
    memcpy(pool->upstream, upstream, strlen(upstream) + 1);
    pps_retry_budget_init(&pool->budget, RETRY_SHARE, RETRY_BURST);
    pps_admission_set_capacity(pool->admission, SLOTS_UNLIMITED);
    atomic_init(&pool->service_us, SERVICE_INITIAL_US);
    return pool;
}

static pps_pool_t *
find_or_add(pps_pool_table_t *table, const char *upstream)
{
    size_t size = strlen(upstream);
    pps_table_item_t *item =
        pps_table_find(&table->by_upstream, upstream, size);
    pps_pool_t *pool;

    if (item != NULL) {
        return caa_container_of(item, pps_pool_t, item);
    }
    if (size > PPS_NAME_MAX) {
        return NULL;
    }
    pool = pool_new(upstream);
    if (pool != NULL) {
        pps_table_add(&table->by_upstream, &pool->item, pool->upstream, size);
        cds_list_add_tail(&pool->node, &table->pools);
    }
    return pool;
}

pps_pool_t *
pps_pool_table_get(pps_pool_table_t *table, const char *upstream)
{
    pps_pool_t *pool;

    pthread_mutex_lock(&table->lock);
    pool = find_or_add(table, upstream);
    pthread_mutex_unlock(&table->lock);
    return pool;
}

/* Without workers, or if a worker's slots are unknown, there is no limit. */
static void
set_capacity(pps_pool_t *pool, const pps_worker_view_t *workers)
{
    double slots = 0;
    int limited = 1;

    for (size_t i = 0; i < pps_worker_view_count(workers); i++) {
        const pps_worker_t *worker = pps_worker_view_at(workers, i);

        if (strcmp(worker->upstream, pool->upstream) != 0 ||
            worker->state == PPS_WORKER_LEAVING) {
            continue;
        }
        limited &= pps_worker_slots(worker) > 0;
        slots += pps_worker_slots(worker);
    }
    pps_admission_set_capacity(pool->admission,
                               limited && slots > 0 ? slots : SLOTS_UNLIMITED);
}

void
pps_pool_table_tick(pps_pool_table_t *table, const pps_worker_view_t *workers,
                    int64_t now_us, pps_pool_on_usage_t on_usage, void *user)
{
    pps_usage_t usage[USAGES_MAX];
    pps_pool_t *pool;

    pthread_mutex_lock(&table->lock);
    cds_list_for_each_entry (pool, &table->pools, node) {
        size_t count;

        set_capacity(pool, workers);
        pps_admission_tick(pool->admission, now_us);
        count = pps_admission_get_usage(pool->admission, usage, USAGES_MAX);
        if (count > 0) {
            on_usage(pool->upstream, usage, count, user);
        }
    }
    pthread_mutex_unlock(&table->lock);
}

int
pps_pool_table_update_peer(pps_pool_table_t *table, const char *upstream,
                           const char *host, const pps_usage_t *usage,
                           size_t count, int64_t now_us)
{
    pps_pool_t *pool = pps_pool_table_get(table, upstream);

    if (pool == NULL) {
        return pps_error_set(PPS_ENOMEM,
                             "pools: out of memory or name too long");
    }
    return pps_admission_update_peer(pool->admission, host, usage, count,
                                     now_us);
}

int
pps_pool_enter(pps_pool_t *pool, const pps_workspace_t *workspace,
               pps_priority_t priority, int64_t deadline_us, pps_rng_t *rng,
               int64_t *retry_after_us)
{
    const pps_admission_request_t request = {
        .workspace = workspace->name,
        .weight = workspace->weight,
        .priority = priority,
        .service_us = atomic_load(&pool->service_us),
        .deadline_us = deadline_us,
        .now_us = pps_clock_now_us(),
        .rng = rng};

    return pps_admission_enter(pool->admission, retry_after_us, &request);
}

void
pps_pool_leave(pps_pool_t *pool, const char *workspace, int64_t took_us,
               int succeeded)
{
    int64_t before = atomic_load(&pool->service_us);

    pps_admission_leave(pool->admission, workspace);
    if (succeeded) {
        atomic_store(&pool->service_us,
                     before + (took_us - before) / SERVICE_SMOOTHING);
        pps_retry_budget_earn(&pool->budget);
    }
}

int
pps_pool_take_retry(pps_pool_t *pool)
{
    return pps_retry_budget_spend(&pool->budget) == 0;
}
