/** @file load_pool.c @brief Caller threads. */
#include "load_pool.h"

#include "load_caller.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>

#define QUEUE_MAX 20000

struct load_pool {
    pthread_mutex_t lock;
    pthread_cond_t added;
    struct cds_list_head queue;
    int queued;
    int closing;
    load_report_t *account;
    int thread_count;
    pthread_t threads[LOAD_THREADS_MAX];
};

/* @return the next request, or NULL when there will be none */
static load_request_t *
take(load_pool_t *pool)
{
    load_request_t *request = NULL;

    pthread_mutex_lock(&pool->lock);
    while (pool->queued == 0 && !pool->closing) {
        pthread_cond_wait(&pool->added, &pool->lock);
    }
    if (pool->queued > 0) {
        request = cds_list_first_entry(&pool->queue, load_request_t, node);
        cds_list_del(&request->node);
        pool->queued--;
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

    while (curl != NULL && (request = take(pool)) != NULL) {
        load_caller_run(curl, request, pool->account);
        load_request_free(request);
    }
    curl_easy_cleanup(curl);
    return NULL;
}

int
load_pool_start(load_pool_t **out, int threads, load_report_t *account)
{
    load_pool_t *pool = calloc(1, sizeof(*pool));

    if (pool == NULL) {
        return pps_error_set(PPS_ENOMEM, "pool: out of memory");
    }
    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->added, NULL);
    CDS_INIT_LIST_HEAD(&pool->queue);
    pool->account = account;
    while (pool->thread_count < threads &&
           pthread_create(&pool->threads[pool->thread_count], NULL, run_thread,
                          pool) == 0) {
        pool->thread_count++;
    }
    if (pool->thread_count < threads) {
        load_pool_finish(pool);
        return pps_error_set(PPS_EIO, "pool: no more threads");
    }
    *out = pool;
    return PPS_OK;
}

void
load_pool_add(load_pool_t *pool, load_request_t *request)
{
    int taken;

    pthread_mutex_lock(&pool->lock);
    taken = pool->queued < QUEUE_MAX;
    if (taken) {
        cds_list_add_tail(&request->node, &pool->queue);
        pool->queued++;
        pthread_cond_signal(&pool->added);
    }
    pthread_mutex_unlock(&pool->lock);
    if (!taken) {
        load_report_not_sent(pool->account);
        load_request_free(request);
    }
}

void
load_pool_finish(load_pool_t *pool)
{
    pthread_mutex_lock(&pool->lock);
    pool->closing = 1;
    pthread_cond_broadcast(&pool->added);
    pthread_mutex_unlock(&pool->lock);
    for (int i = 0; i < pool->thread_count; i++) {
        pthread_join(pool->threads[i], NULL);
    }
    pthread_cond_destroy(&pool->added);
    pthread_mutex_destroy(&pool->lock);
    free(pool);
}
