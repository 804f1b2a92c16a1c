/** @file load_pool.c @brief Threads that send the queued requests. */
#include "load_pool.h"

#include "load_caller.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>

#define QUEUE_MAX 20000

struct load_pool {
    pthread_mutex_t lock;
    pthread_cond_t request_added;
    struct cds_list_head queue;
    int queued_count;
    int closing;
    load_report_t *report;
    int thread_count;
    pthread_t threads[LOAD_THREADS_MAX];
};

/* Returns the next request, or NULL if the pool closes and none is queued. */
static load_request_t *
wait_for_request(load_pool_t *pool)
{
    load_request_t *request = NULL;

    pthread_mutex_lock(&pool->lock);
    while (pool->queued_count == 0 && !pool->closing) {
        pthread_cond_wait(&pool->request_added, &pool->lock);
    }
    if (pool->queued_count > 0) {
        request = cds_list_first_entry(&pool->queue, load_request_t, node);
        cds_list_del(&request->node);
        pool->queued_count--;
    }
    pthread_mutex_unlock(&pool->lock);
    return request;
}

static void *
run_thread(void *user)
{
    load_pool_t *pool = user;
    CURL *curl = curl_easy_init();
    load_request_t *request;

    while (curl != NULL && (request = wait_for_request(pool)) != NULL) {
        load_caller_run(curl, request, pool->report);
        load_request_free(request);
    }
    curl_easy_cleanup(curl);
    return NULL;
}

int
load_pool_start(load_pool_t **out, int threads, load_report_t *report)
{
    load_pool_t *pool = calloc(1, sizeof(*pool));

    if (pool == NULL) {
        return pps_error_set(PPS_ENOMEM, "pool: out of memory");
    }
    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->request_added, NULL);
    CDS_INIT_LIST_HEAD(&pool->queue);
    pool->report = report;
    while (pool->thread_count < threads &&
           pthread_create(&pool->threads[pool->thread_count], NULL, run_thread,
                          pool) == 0) {
        pool->thread_count++;
    }
    if (pool->thread_count < threads) {
        load_pool_finish(pool);
        return pps_error_set(PPS_EIO,
                             "pool: a caller thread cannot be created");
    }
    *out = pool;
    return PPS_OK;
}

void
load_pool_add(load_pool_t *pool, load_request_t *request)
{
    int accepted;

    pthread_mutex_lock(&pool->lock);
    accepted = pool->queued_count < QUEUE_MAX;
    if (accepted) {
        cds_list_add_tail(&request->node, &pool->queue);
        pool->queued_count++;
        pthread_cond_signal(&pool->request_added);
    }
    pthread_mutex_unlock(&pool->lock);
    if (!accepted) {
        load_report_count_unsent(pool->report);
        load_request_free(request);
    }
}

void
load_pool_finish(load_pool_t *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->closing = 1;
    pthread_cond_broadcast(&pool->request_added);
    pthread_mutex_unlock(&pool->lock);
    for (int i = 0; i < pool->thread_count; i++) {
        pthread_join(pool->threads[i], NULL);
    }
    pthread_cond_destroy(&pool->request_added);
    pthread_mutex_destroy(&pool->lock);
    free(pool);
}
