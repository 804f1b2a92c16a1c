/**
 * @file policy_pool.h
 * @brief Simulates a pool of batching workers behind several hosts.
 *
 * A worker runs up to SLOTS requests, queues up to `queue` more and refuses
 * the rest. It caches the prefixes of CACHE_ENTRIES prompts and evicts the
 * least recently used. All hosts receive a report of each worker every
 * REPORT_INTERVAL_US, which was measured `report_age_us` earlier.
 */
#ifndef POLICY_POOL_H
#define POLICY_POOL_H

#include "papayaswitch/choice.h"
#include "policy_heap.h"
#include "policy_random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 8
#define WORKERS_MAX 20
#define SLOTS 8
#define QUEUE_MAX 4
#define CACHE_ENTRIES 64
#define PREFIXES 400

/** Times of the workers and of the run. */
#define DECODE_MEAN_US 800000.0
#define PREFILL_COLD_US 250000
#define PREFILL_WARM_US 50000
#define REPORT_INTERVAL_US 100000
#define RETRY_INTERVAL_US 50000
#define REFUSAL_DELAY_US 2000 /**< until the host receives a refusal */
#define RUN_US 60000000
#define WARM_UP_US 10000000

/** Reports kept of a worker; REPORT_INTERVAL_US times this is the limit of
 * `report_age_us`. */
#define REPORT_HISTORY 64

/** Workers that a request tries before it waits RETRY_INTERVAL_US. */
#define TRIED_MAX 4

#define REQUESTS_MAX 65536

/** Size, load and faults of a run. */
typedef struct {
    int workers;
    double load; /**< share of the pool's capacity */
    int64_t report_age_us;
    double slow_factor; /**< of the times of worker 0; 1: not slow */
    int queue;          /**< capacity of a worker's queue */
    uint64_t seed;
} scenario_t;

typedef struct {
    int64_t arrived_us;
    int host;
    int prefix;
    int64_t decode_us;
    int worker;
    int tried[TRIED_MAX]; /**< workers that refused since the last wait */
    int tried_count;
} request_t;

/** The true state of a worker. */
typedef struct {
    int running;
    int queue[QUEUE_MAX];
    int queued;
    int cache[CACHE_ENTRIES];    /**< prefixes, most recent first */
    int reports[REPORT_HISTORY]; /**< load at the last ticks */
} worker_t;

/** State of the simulation. */
typedef struct {
    scenario_t scenario;
    pps_rng_t arrivals; /**< the same for every policy */
    pps_rng_t choices;
    heap_t heap;
    worker_t workers[WORKERS_MAX];
    request_t requests[REQUESTS_MAX];
    int request_count;
    pps_worker_view_t *views[HOSTS];
    int next_in_turn[HOSTS]; /**< next worker of the round robin */
    int64_t now_us;
    int64_t tick;
    int backlog[REQUESTS_MAX]; /**< central queue */
    int backlog_head;
    int backlog_tail;
    double waits[REQUESTS_MAX];
    double first_tokens[REQUESTS_MAX];
    int measured_count;
    int cache_hits;
} pool_model_t;

/** A policy; its `choose` is NULL for the central queue. */
typedef struct {
    const char *name;
    int (*choose)(pool_model_t *model, const request_t *request);
} policy_t;

enum { ARRIVAL, FINISH, REPORT, RETRY };

#define DOMAINS 4

static const char *const domains[DOMAINS] = {"a", "b", "c", "d"};

static void
views_make(pool_model_t *model)
{
    pps_worker_t workers[WORKERS_MAX] = {0};
    char ids[WORKERS_MAX][16];

    for (int w = 0; w < model->scenario.workers; w++) {
        snprintf(ids[w], sizeof(ids[w]), "w%d", w);
        workers[w] = (pps_worker_t){
            ids[w],          "drafting", "10.0.0.1", 1, domains[w % DOMAINS],
            PPS_WORKER_LIVE, SLOTS,      NULL};
    }
    for (int h = 0; h < HOSTS; h++) {
        pps_worker_view_new(&model->views[h], NULL, workers,
                            (size_t)model->scenario.workers);
    }
}

static int
cache_touch(worker_t *worker, int prefix)
{
    int at = 0;
    int hit;

    while (at < CACHE_ENTRIES - 1 && worker->cache[at] != prefix) {
        at++;
    }
    hit = worker->cache[at] == prefix;
    memmove(&worker->cache[1], &worker->cache[0],
            (size_t)at * sizeof(worker->cache[0]));
    worker->cache[0] = prefix;
    return hit;
}

static void
request_start(pool_model_t *model, int index)
{
    request_t *request = &model->requests[index];
    worker_t *worker = &model->workers[request->worker];
    int hit = cache_touch(worker, request->prefix);
    double factor = request->worker == 0 ? model->scenario.slow_factor : 1.0;
    int64_t wait = model->now_us - request->arrived_us;
    int64_t prefill =
        (int64_t)(factor * (hit ? PREFILL_WARM_US : PREFILL_COLD_US));
    int64_t decode = (int64_t)(factor * (double)request->decode_us);

    worker->running++;
    heap_push(&model->heap,
              (event_t){model->now_us + prefill + decode, FINISH, index, 0});
    pps_worker_record_first_token(
        pps_worker_view_at(model->views[request->host],
                           (size_t)request->worker),
        wait + prefill);
    if (request->arrived_us >= WARM_UP_US) {
        model->waits[model->measured_count] = (double)wait;
        model->first_tokens[model->measured_count++] =
            (double)(wait + prefill);
        model->cache_hits += hit;
    }
}

/** Sends a request to a worker. @return 1 if accepted, 0 if refused */
static int
offer(pool_model_t *model, int index, int w)
{
    worker_t *worker = &model->workers[w];
    request_t *request = &model->requests[index];
    const pps_worker_t *view =
        pps_worker_view_at(model->views[request->host], (size_t)w);

    if (worker->running == SLOTS && worker->queued == model->scenario.queue) {
        pps_worker_record_refusal(view, PPS_REFUSAL_FULL, NULL, model->now_us,
                                  RETRY_INTERVAL_US);
        return 0;
    }
    request->worker = w;
    pps_worker_begin_request(view);
    if (worker->running < SLOTS) {
        request_start(model, index);
    }
    else {
        worker->queue[worker->queued++] = index;
    }
    return 1;
}

/** Sends a request to one worker, and schedules a retry if it refuses. */
static void
dispatch(pool_model_t *model, const policy_t *policy, int index)
{
    request_t *request = &model->requests[index];
    int64_t retry_after_us = REFUSAL_DELAY_US;
    int w = policy->choose(model, request);

    if (w >= 0 && offer(model, index, w)) {
        return;
    }
    if (w >= 0) {
        request->tried[request->tried_count++] = w;
    }
    if (w < 0 || request->tried_count == TRIED_MAX) {
        request->tried_count = 0;
        retry_after_us = RETRY_INTERVAL_US;
    }
    heap_push(&model->heap,
              (event_t){model->now_us + retry_after_us, RETRY, index, 0});
}

static void
central_serve(pool_model_t *model)
{
    for (int w = 0; w < model->scenario.workers &&
                    model->backlog_head < model->backlog_tail;
         w++) {
        while (model->workers[w].running < SLOTS &&
               model->backlog_head < model->backlog_tail) {
            int index = model->backlog[model->backlog_head++];

            model->requests[index].worker = w;
            request_start(model, index);
        }
    }
}

static void
arrive(pool_model_t *model, const policy_t *policy)
{
    double service = DECODE_MEAN_US + PREFILL_COLD_US;
    double rate =
        model->scenario.load * model->scenario.workers * SLOTS / service;
    int index = model->request_count++;
    request_t *request = &model->requests[index];

    request->arrived_us = model->now_us;
    request->host = (int)pps_rng_below(&model->arrivals, HOSTS);
    request->prefix = 1 + (int)pps_rng_below(&model->arrivals, PREFIXES);
    request->decode_us =
        (int64_t)policy_exponential(&model->arrivals, DECODE_MEAN_US);
    if (model->request_count < REQUESTS_MAX) {
        int64_t next =
            model->now_us +
            (int64_t)policy_exponential(&model->arrivals, 1.0 / rate) + 1;

        heap_push(&model->heap, (event_t){next, ARRIVAL, 0, 0});
    }
    if (policy->choose != NULL) {
        dispatch(model, policy, index);
        return;
    }
    model->backlog[model->backlog_tail++] = index;
    central_serve(model);
}

static void
finish(pool_model_t *model, const policy_t *policy, int index)
{
    const request_t *request = &model->requests[index];
    worker_t *worker = &model->workers[request->worker];

    worker->running--;
    if (policy->choose == NULL) {
        central_serve(model);
        return;
    }
    pps_worker_end_request(pps_worker_view_at(model->views[request->host],
                                              (size_t)request->worker));
    if (worker->queued > 0) {
        int next = worker->queue[0];

        worker->queued--;
        memmove(&worker->queue[0], &worker->queue[1],
                (size_t)worker->queued * sizeof(worker->queue[0]));
        request_start(model, next);
    }
}

/** Records the load now, and delivers the loads of `report_age_us` ago. */
static void
report(pool_model_t *model)
{
    int64_t delay_ticks = model->scenario.report_age_us / REPORT_INTERVAL_US;
    int64_t measured = model->tick - delay_ticks;

    for (int w = 0; w < model->scenario.workers; w++) {
        worker_t *worker = &model->workers[w];
        pps_worker_report_t out = {
            .slots = SLOTS,
            .measured_at_us = model->now_us - model->scenario.report_age_us,
            .received_at_us = model->now_us};

        worker->reports[model->tick % REPORT_HISTORY] =
            worker->running + worker->queued;
        if (measured < 0) {
            continue;
        }
        out.running = (unsigned int)worker->reports[measured % REPORT_HISTORY];
        for (int h = 0; h < HOSTS; h++) {
            pps_worker_apply_report(
                pps_worker_view_at(model->views[h], (size_t)w), &out);
        }
    }
    model->tick++;
    heap_push(&model->heap,
              (event_t){model->now_us + REPORT_INTERVAL_US, REPORT, 0, 0});
}

static void
model_run(pool_model_t *model, const scenario_t *scenario,
          const policy_t *policy)
{
    memset(model, 0, sizeof(*model));
    model->scenario = *scenario;
    pps_rng_init(&model->arrivals, scenario->seed);
    pps_rng_init(&model->choices, scenario->seed + 1000);
    views_make(model);
    heap_push(&model->heap, (event_t){0, ARRIVAL, 0, 0});
    heap_push(&model->heap, (event_t){1, REPORT, 0, 0});
    while (model->now_us < RUN_US) {
        event_t event = heap_pop(&model->heap);

        model->now_us = event.at_us;
        if (event.kind == ARRIVAL) {
            arrive(model, policy);
        }
        else if (event.kind == FINISH) {
            finish(model, policy, event.index);
        }
        else if (event.kind == REPORT) {
            report(model);
        }
        else {
            dispatch(model, policy, event.index);
        }
    }
    for (int h = 0; h < HOSTS; h++) {
        pps_worker_view_free(model->views[h]);
    }
}

#endif
