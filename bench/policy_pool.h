/**
 * @file policy_pool.h
 * @brief A small model of a pool of batching workers behind several hosts.
 *
 * A worker runs up to SLOTS requests, queues up to `queue` more and refuses
 * the rest. Prefixes of prompts stay in a cache of CACHE entries, the least
 * recently used is dropped. Reports reach all hosts REPORT_US apart and `age`
 * late.
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
#define CACHE 64
#define PREFIXES 400

/** Times, in microseconds. */
#define DECODE_US 800000.0
#define PREFILL_COLD_US 250000
#define PREFILL_WARM_US 50000
#define REPORT_US 100000
#define RETRY_US 50000
#define REFUSAL_US 2000 /**< until a refusal is back */
#define RUN_US 60000000
#define WARM_UP_US 10000000

/** Reports on their way: the oldest is REPORT_US * REPORTS old. */
#define REPORTS 64

/** Workers that one attempt asks before it waits. */
#define ASKED_MAX 4

#define REQUESTS_MAX 65536

/** A scenario. */
typedef struct {
    int workers;
    double load;
    int64_t age_us;
    double slow_factor; /**< of worker 0's times; 1: none is slow */
    int queue;          /**< of a worker */
    uint64_t seed;
} scenario_t;

/** A request under way. */
typedef struct {
    int64_t arrived_us;
    int host;
    int prefix;
    int64_t decode_us;
    int worker;
    int asked[ASKED_MAX]; /**< workers that refused it in this round */
    int asked_count;
} request_t;

/** A worker. */
typedef struct {
    int running;
    int queue[QUEUE_MAX];
    int queued;
    int cache[CACHE]; /**< prefixes, most recent first */
    int reports[REPORTS];
} worker_t;

/** The whole model. */
typedef struct {
    scenario_t scenario;
    pps_rng_t arrivals; /**< the same for every policy */
    pps_rng_t choices;
    heap_t heap;
    worker_t workers[WORKERS_MAX];
    request_t requests[REQUESTS_MAX];
    int request_count;
    pps_worker_view_t *views[HOSTS];
    int turn[HOSTS];
    int64_t now_us;
    int64_t tick;
    int backlog[REQUESTS_MAX]; /**< of the central queue */
    int backlog_from;
    int backlog_to;
    double waits[REQUESTS_MAX];
    double first_tokens[REQUESTS_MAX];
    int measured;
    int warm;
} pool_model_t;

/** A way to choose; NULL `choose` is the central queue. */
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

    while (at < CACHE - 1 && worker->cache[at] != prefix) {
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
        model->waits[model->measured] = (double)wait;
        model->first_tokens[model->measured++] = (double)(wait + prefill);
        model->warm += hit;
    }
}

/** @return whether the worker took the request */
static int
offer(pool_model_t *model, int index, int w)
{
    worker_t *worker = &model->workers[w];
    request_t *request = &model->requests[index];
    const pps_worker_t *seen =
        pps_worker_view_at(model->views[request->host], (size_t)w);

    if (worker->running == SLOTS && worker->queued == model->scenario.queue) {
        pps_worker_record_refusal(seen, PPS_REFUSAL_FULL, NULL, model->now_us,
                                  RETRY_US);
        return 0;
    }
    request->worker = w;
    pps_worker_begin_request(seen);
    if (worker->running < SLOTS) {
        request_start(model, index);
    }
    else {
        worker->queue[worker->queued++] = index;
    }
    return 1;
}

/** Asks one worker; a refusal leads to the next, or to a new round. */
static void
dispatch(pool_model_t *model, const policy_t *policy, int index)
{
    request_t *request = &model->requests[index];
    int64_t again_us = REFUSAL_US;
    int w = policy->choose(model, request);

    if (w >= 0 && offer(model, index, w)) {
        return;
    }
    if (w >= 0) {
        request->asked[request->asked_count++] = w;
    }
    if (w < 0 || request->asked_count == ASKED_MAX) {
        request->asked_count = 0;
        again_us = RETRY_US;
    }
    heap_push(&model->heap,
              (event_t){model->now_us + again_us, RETRY, index, 0});
}

static void
central_serve(pool_model_t *model)
{
    for (int w = 0; w < model->scenario.workers &&
                    model->backlog_from < model->backlog_to;
         w++) {
        while (model->workers[w].running < SLOTS &&
               model->backlog_from < model->backlog_to) {
            int index = model->backlog[model->backlog_from++];

            model->requests[index].worker = w;
            request_start(model, index);
        }
    }
}

static void
arrive(pool_model_t *model, const policy_t *policy)
{
    double service = DECODE_US + PREFILL_COLD_US;
    double rate =
        model->scenario.load * model->scenario.workers * SLOTS / service;
    int index = model->request_count++;
    request_t *request = &model->requests[index];

    request->arrived_us = model->now_us;
    request->host = (int)pps_rng_below(&model->arrivals, HOSTS);
    request->prefix = 1 + (int)pps_rng_below(&model->arrivals, PREFIXES);
    request->decode_us =
        (int64_t)policy_exponential(&model->arrivals, DECODE_US);
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
    model->backlog[model->backlog_to++] = index;
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

/** Workers measure now; hosts hear what was measured `age` ago. */
static void
report(pool_model_t *model)
{
    int64_t late = model->scenario.age_us / REPORT_US;
    int64_t measured = model->tick - late;

    for (int w = 0; w < model->scenario.workers; w++) {
        worker_t *worker = &model->workers[w];
        pps_worker_report_t out = {.slots = SLOTS,
                                   .measured_at_us =
                                       model->now_us - model->scenario.age_us,
                                   .received_at_us = model->now_us};

        worker->reports[model->tick % REPORTS] =
            worker->running + worker->queued;
        if (measured < 0) {
            continue;
        }
        out.running = (unsigned int)worker->reports[measured % REPORTS];
        for (int h = 0; h < HOSTS; h++) {
            pps_worker_apply_report(
                pps_worker_view_at(model->views[h], (size_t)w), &out);
        }
    }
    model->tick++;
    heap_push(&model->heap,
              (event_t){model->now_us + REPORT_US, REPORT, 0, 0});
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
