/** @file pool.c @brief Worker list with load and failure tracking. */
#include "pool.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Time for which an unreachable worker is avoided while others can serve. */
#define UNREACHABLE_AVOID_US (1200 * PPS_US_PER_MS)
/** Time for which a worker without capacity gets no calls. */
#define FULL_AVOID_US (150 * PPS_US_PER_MS)
/** Time of avoidance after another worker answered at the address. */
#define MOVED_AVOID_US (3 * PPS_US_PER_S)
/** Weights of a failed and of a served call in `failure_share`. */
#define FAILURE_WEIGHT 0.25
#define SUCCESS_WEIGHT 0.12
#define SLOTS_DEFAULT 8

/** Change of the time up to which a worker states to be cold that other hosts
 * have to know. Smaller ones come from the delay of records. */
#define COLD_CHANGE_US (250 * PPS_US_PER_MS)

/** Number of removed workers that are remembered. */
#define REMOVED_MAX 256

/* A worker that was removed from the list. */
typedef struct {
    uint64_t digest; /* of its id; 0: unused */
    int64_t start_ms;
    int said_leaving;
    int64_t said_leaving_start_ms;
} removed_t;

struct pps_pool {
    removed_t removed[REMOVED_MAX]; /* ring */
    size_t removed_next;
    struct cds_list_head workers;
    pps_table_t listed;  /* by id */
    pps_table_t digests; /* listed workers by digest of the id */
};

int
pps_pool_new(pps_pool_t **out)
{
    pps_pool_t *pool = calloc(1, sizeof(*pool));

    if (pool == NULL) {
        return PPS_ENOMEM;
    }
    CDS_INIT_LIST_HEAD(&pool->workers);
    *out = pool;
    return PPS_OK;
}

void
pps_pool_free(pps_pool_t *pool)
{
    pps_pool_worker_t *worker;
    pps_pool_worker_t *next;

    if (pool == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (worker, next, &pool->workers, node) {
        if (worker->listed) {
            pps_table_remove(&pool->listed, &worker->item);
            pps_table_remove(&pool->digests, &worker->digest_item);
        }
        free(worker);
    }
    free(pool);
}

static void
free_if_unused(pps_pool_worker_t *worker)
{
    if (!worker->listed && worker->in_flight == 0) {
        cds_list_del(&worker->node);
        free(worker);
    }
}

pps_pool_worker_t *
pps_pool_lookup(pps_pool_t *pool, const char *id)
{
    pps_table_item_t *item = pps_table_find(&pool->listed, id, strlen(id));

    return item != NULL ? caa_container_of(item, pps_pool_worker_t, item)
                        : NULL;
}

pps_pool_worker_t *
pps_pool_lookup_digest(pps_pool_t *pool, uint64_t digest)
{
    pps_table_item_t *item =
        pps_table_find(&pool->digests, &digest, sizeof(digest));

    return item != NULL
               ? caa_container_of(item, pps_pool_worker_t, digest_item)
               : NULL;
}

static removed_t *
find_removed(pps_pool_t *pool, uint64_t digest)
{
    for (size_t i = 0; i < REMOVED_MAX; i++) {
        if (pool->removed[i].digest == digest) {
            return &pool->removed[i];
        }
    }
    return NULL;
}

static void
remember_removed(pps_pool_t *pool, const pps_pool_worker_t *worker)
{
    removed_t *removed = find_removed(pool, worker->digest);

    if (removed == NULL) {
        removed = &pool->removed[pool->removed_next++ % REMOVED_MAX];
    }
    *removed = (removed_t){
        .digest = worker->digest,
        .start_ms = worker->info.start_ms,
        .said_leaving = worker->said_leaving,
        .said_leaving_start_ms = worker->said_leaving_start_ms,
    };
}

/* Removes a worker from the list. Frees it unless it has calls in flight. */
static void
unlist(pps_pool_t *pool, pps_pool_worker_t *worker)
{
    remember_removed(pool, worker);
    worker->listed = 0;
    pps_table_remove(&pool->listed, &worker->item);
    pps_table_remove(&pool->digests, &worker->digest_item);
    free_if_unused(worker);
}

static void
reset_health(pps_pool_worker_t *worker)
{
    worker->reported_us = 0;
    worker->failure_share = 0;
    worker->avoided_until_us = 0;
    worker->full_until_us = 0;
    worker->is_pause_reported = 0;
    worker->limit = (pps_worker_limit_t){0};
    worker->is_limit_reported = 0;
    worker->share_until_us = 0;
    worker->limit_told_us = 0;
    worker->limit_ended_us = 0;
    worker->permits = (pps_worker_permits_t){0};
    worker->uncounted = (pps_uncounted_calls_t){0};
    worker->slots_before = 0;
    worker->permits_told_held = 0;
    worker->permits_told_us = 0;
    worker->permits_repeated_us = 0;
    worker->is_brittle_reported = 0;
    worker->is_path_lost = 0;
    worker->path_asked_us = 0;
    worker->prefill = (pps_prefill_queue_t){0};
}

/* Ends a pause unless the worker asked for it since its start: its answers may
 * arrive before its record does. */
static void
reset_pause(pps_pool_worker_t *worker, const pps_worker_info_t *info)
{
    if (info->started_us == 0 || worker->paused_at_us < info->started_us) {
        worker->paused_until_us = 0;
    }
}

/* Returns the time after the receipt of a record that is left to a time. */
static int64_t
left_us(const pps_worker_info_t *info, int64_t until_us)
{
    return until_us > info->received_us ? until_us - info->received_us : 0;
}

/* Applies what a record says of the worker's start. Returns whether other
 * hosts have to know. */
static int
note_cold(pps_pool_worker_t *worker, const pps_worker_info_t *info,
          int is_restart)
{
    pps_cold_start_t *cold = &worker->cold;
    const pps_cold_record_t record = {
        .is_restart = is_restart,
        .has_remaining = info->cold_remaining_us >= 0,
        .until_us = info->received_us + info->cold_remaining_us,
        .started_us = info->started_us < info->received_us ? info->started_us
                                                           : info->received_us,
    };
    int64_t change_us =
        record.has_remaining
            ? info->cold_remaining_us - left_us(info, cold->record_until_us)
            : 0;
    int ends_order = record.has_remaining &&
                     left_us(info, cold->order_until_us) > COLD_CHANGE_US;

    pps_cold_start_note_record(cold, &record);
    return ends_order || change_us > COLD_CHANGE_US ||
           change_us < -COLD_CHANGE_US;
}

static uint64_t
digest_id(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

static int
add(pps_pool_t *pool, const pps_worker_info_t *info)
{
    pps_pool_worker_t *worker = calloc(1, sizeof(*worker));
    const removed_t *removed;

    if (worker == NULL) {
        return PPS_ENOMEM;
    }
    worker->info = *info;
    worker->slots = info->slots ? info->slots : SLOTS_DEFAULT;
    worker->digest = digest_id(info->id);
    note_cold(worker, info, 0);
    pps_uncounted_calls_begin(&worker->uncounted, info->received_us);
    removed = find_removed(pool, worker->digest);
    if (removed != NULL) {
        worker->said_leaving = removed->said_leaving;
        worker->said_leaving_start_ms = removed->said_leaving_start_ms;
    }
    worker->listed = 1;
    cds_list_add_tail(&worker->node, &pool->workers);
    pps_table_add(&pool->listed, &worker->item, worker->info.id,
                  strlen(worker->info.id));
    pps_table_add(&pool->digests, &worker->digest_item, &worker->digest,
                  sizeof(worker->digest));
    return 1;
}

int
pps_pool_put(pps_pool_t *pool, const pps_worker_info_t *info)
{
    pps_pool_worker_t *worker = pps_pool_lookup(pool, info->id);
    int changed;

    if (worker == NULL) {
        return add(pool, info);
    }
    worker->remove_at_us = 0;
    changed = worker->info.leaving != info->leaving;
    changed |= note_cold(worker, info, info->start_ms > worker->info.start_ms);
    if (worker->info.start_ms != info->start_ms ||
        strcmp(worker->info.address, info->address) != 0) {
        reset_health(worker);
        reset_pause(worker, info);
        worker->slots = info->slots ? info->slots : worker->slots;
        changed = 1;
    }
    worker->info = *info;
    return changed;
}

int
pps_pool_is_outdated(pps_pool_t *pool, const pps_worker_info_t *info)
{
    const pps_pool_worker_t *worker = pps_pool_lookup(pool, info->id);
    const removed_t *removed;

    if (worker != NULL) {
        return info->start_ms < worker->info.start_ms ||
               (info->start_ms == worker->info.start_ms &&
                worker->info.leaving && !info->leaving);
    }
    removed = find_removed(pool, digest_id(info->id));
    return removed != NULL && info->start_ms <= removed->start_ms;
}

int
pps_pool_worker_is_leaving(const pps_pool_worker_t *worker)
{
    return worker->info.leaving ||
           (worker->said_leaving &&
            worker->info.start_ms <= worker->said_leaving_start_ms);
}

int
pps_pool_set_leaving(pps_pool_worker_t *worker, int64_t start_ms)
{
    if (start_ms < worker->info.start_ms ||
        (worker->said_leaving && start_ms <= worker->said_leaving_start_ms)) {
        return 0;
    }
    worker->said_leaving = 1;
    worker->said_leaving_start_ms = start_ms;
    return 1;
}

int
pps_pool_remove(pps_pool_t *pool, const char *id)
{
    pps_pool_worker_t *worker = pps_pool_lookup(pool, id);

    if (worker == NULL) {
        return 0;
    }
    unlist(pool, worker);
    return 1;
}

void
pps_pool_remove_at(pps_pool_t *pool, const char *id, int64_t when_us)
{
    pps_pool_worker_t *worker = pps_pool_lookup(pool, id);

    if (worker != NULL && worker->remove_at_us == 0) {
        worker->remove_at_us = when_us;
    }
}

unsigned int
pps_pool_sweep(pps_pool_t *pool, int64_t now_us)
{
    pps_pool_worker_t *worker;
    pps_pool_worker_t *next;
    unsigned int removed = 0;

    cds_list_for_each_entry_safe (worker, next, &pool->workers, node) {
        if (worker->listed && worker->remove_at_us != 0 &&
            worker->remove_at_us <= now_us) {
            unlist(pool, worker);
            removed++;
        }
    }
    return removed;
}

struct cds_list_head *
pps_pool_workers(pps_pool_t *pool)
{
    return &pool->workers;
}

size_t
pps_pool_count(const pps_pool_t *pool)
{
    return pps_table_count(&pool->listed);
}

static void
avoid_until(pps_pool_worker_t *worker, int64_t until_us)
{
    if (until_us > worker->avoided_until_us) {
        worker->avoided_until_us = until_us;
    }
}

void
pps_pool_note_outcome(pps_pool_worker_t *worker, pps_worker_outcome_t outcome,
                      int64_t now_us)
{
    switch (outcome) {
    case PPS_WORKER_SERVED:
        worker->failure_share -= worker->failure_share * SUCCESS_WEIGHT;
        break;
    case PPS_WORKER_FAILED:
        worker->failure_share += (1 - worker->failure_share) * FAILURE_WEIGHT;
        break;
    case PPS_WORKER_UNREACHABLE:
        worker->failure_share += (1 - worker->failure_share) * FAILURE_WEIGHT;
        avoid_until(worker, now_us + UNREACHABLE_AVOID_US);
        break;
    case PPS_WORKER_FULL:
        worker->full_until_us = now_us + FULL_AVOID_US;
        break;
    case PPS_WORKER_MOVED:
        avoid_until(worker, now_us + MOVED_AVOID_US);
        break;
    case PPS_WORKER_ABANDONED:
        break;
    }
}

void
pps_pool_end_call(pps_pool_t *pool, pps_pool_worker_t *worker,
                  pps_worker_outcome_t outcome, int64_t now_us)
{
    worker->in_flight--;
    pps_pool_note_outcome(worker, outcome, now_us);
    free_if_unused(worker);
}
