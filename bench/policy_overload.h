/**
 * @file policy_overload.h
 * @brief Simulates a pool with a priority queue, and callers that retry.
 */
#ifndef POLICY_OVERLOAD_H
#define POLICY_OVERLOAD_H

#include "papayaswitch/admission.h"
#include "papayaswitch/errors.h"
#include "policy_heap.h"
#include "policy_random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 8
#define WORKSPACES 10
#define KINDS 3
#define SLOTS 160
#define REQUESTS_MAX 400000
#define ATTEMPTS_MAX 4

/** Times of the run; the part from TAIL_START_US on shows the recovery. */
#define SECOND_US 1000000
#define RUN_US (60 * SECOND_US)
#define MEASURE_START_US (10 * SECOND_US)
#define TAIL_START_US (50 * SECOND_US)
#define CLIENT_RETRY_US SECOND_US

/** A kind of request: its share, mean service time and deadline. */
typedef struct {
    double weight;
    double service_us;
    int64_t deadline_us;
} kind_t;

static const kind_t kinds[KINDS] = {
    {0.5, 0.1 * SECOND_US, 2 * SECOND_US},
    {0.4, 0.8 * SECOND_US, 10 * SECOND_US},
    {0.1, 3.0 * SECOND_US, 60 * SECOND_US},
};

/** The load, and an interval with less capacity. */
typedef struct {
    const char *name;
    double other_load; /**< of workspaces 1 and up, as a share of capacity */
    double first_load; /**< of workspace 0, likewise */
    int64_t loss_start_us;
    int64_t loss_end_us;
    double slots_share; /**< share of the slots in the interval */
} scenario_t;

typedef struct {
    int64_t arrived_us;
    int64_t service_us;
    int workspace;
    int kind;
    int host;
    int attempts;
    int finished;
    int next; /**< in the pool's queue, index + 1; 0: none */
} request_t;

/** Sums over the measured requests of a workspace. */
typedef struct {
    double offered_us;   /**< service time requested */
    double completed_us; /**< service time of those finished by the deadline */
    int offered;
    int completed;
} tally_t;

/** State of the simulation. */
typedef struct {
    scenario_t scenario;
    pps_rng_t arrivals;
    pps_rng_t rng;
    heap_t heap;
    request_t requests[REQUESTS_MAX];
    int request_count;
    int head[KINDS]; /**< queue of each priority, index + 1; 0: empty */
    int tail[KINDS];
    int running;
    int slots;
    pps_admission_t *admissions[HOSTS];
    int used[HOSTS][WORKSPACES];
    int64_t now_us;
    tally_t tallies[WORKSPACES];
    double tail_completed_us;
    double lookup_latencies_us[REQUESTS_MAX]; /**< of workspaces 1 and up */
    int lookup_count;
} overload_t;

/** An admission policy; `enter` returns 0, or < 0 and sets the retry delay. */
typedef struct {
    const char *name;
    int (*enter)(overload_t *model, const request_t *request,
                 int64_t *retry_after_us);
    void (*leave)(overload_t *model, const request_t *request);
} policy_t;

enum {
    ARRIVAL,
    FINISH,
    RETRY,
    CALLER_TIMEOUT,
    GOSSIP,
    CAPACITY_LOST,
    CAPACITY_RESTORED
};

static void
pool_start_queued(overload_t *model)
{
    for (int k = 0; k < KINDS; k++) {
        while (model->running < model->slots && model->head[k] != 0) {
            int index = model->head[k] - 1;

            model->head[k] = model->requests[index].next;
            model->running++;
            heap_push(
                &model->heap,
                (event_t){model->now_us + model->requests[index].service_us,
                          FINISH, index, 0});
        }
    }
}

static void
pool_enqueue(overload_t *model, int index)
{
    int k = model->requests[index].kind;

    model->requests[index].next = 0;
    if (model->head[k] == 0) {
        model->head[k] = index + 1;
    }
    else {
        model->requests[model->tail[k]].next = index + 1;
    }
    model->tail[k] = index;
    pool_start_queued(model);
}

static void
send_attempt(overload_t *model, const policy_t *policy, int index)
{
    request_t *request = &model->requests[index];
    int64_t retry_after_us = CLIENT_RETRY_US;

    if (policy->enter(model, request, &retry_after_us) == 0) {
        heap_push(&model->heap,
                  (event_t){model->now_us + kinds[request->kind].deadline_us,
                            CALLER_TIMEOUT, index, 0});
        pool_enqueue(model, index);
    }
    else if (++request->attempts < ATTEMPTS_MAX) {
        heap_push(&model->heap,
                  (event_t){model->now_us + retry_after_us, RETRY, index, 0});
    }
}

/** Sends a request again; the pool does not cancel the earlier attempt. */
static void
caller_timeout(overload_t *model, const policy_t *policy, int index)
{
    const request_t *request = &model->requests[index];
    int retry = model->request_count;

    if (request->finished || request->attempts + 1 >= ATTEMPTS_MAX ||
        retry >= REQUESTS_MAX - 1) {
        return;
    }
    model->request_count++;
    model->requests[retry] = *request;
    model->requests[retry].attempts++;
    model->requests[retry].arrived_us = model->now_us;
    send_attempt(model, policy, retry);
}

static void
arrive(overload_t *model, const policy_t *policy, int workspace)
{
    double weights[KINDS];
    double mean = 0.0;
    double load = workspace == 0
                      ? model->scenario.first_load
                      : model->scenario.other_load / (WORKSPACES - 1);
    int index = model->request_count++;
    request_t *request = &model->requests[index];

    for (int k = 0; k < KINDS; k++) {
        weights[k] = kinds[k].weight;
        mean += kinds[k].weight * kinds[k].service_us;
    }
    heap_push(&model->heap,
              (event_t){model->now_us + 1 +
                            (int64_t)policy_exponential(&model->arrivals,
                                                        mean / (load * SLOTS)),
                        ARRIVAL, workspace, 0});
    request->arrived_us = model->now_us;
    request->workspace = workspace;
    request->kind = policy_pick(&model->arrivals, weights, KINDS);
    request->host = (int)pps_rng_below(&model->arrivals, HOSTS);
    request->service_us = (int64_t)policy_exponential(
        &model->arrivals, kinds[request->kind].service_us);
    if (model->now_us >= MEASURE_START_US && model->now_us < TAIL_START_US) {
        model->tallies[workspace].offered_us += (double)request->service_us;
        model->tallies[workspace].offered++;
    }
    send_attempt(model, policy, index);
}

static void
finish(overload_t *model, const policy_t *policy, int index)
{
    const request_t *request = &model->requests[index];
    int64_t elapsed = model->now_us - request->arrived_us;
    tally_t *tally = &model->tallies[request->workspace];

    model->requests[index].finished = 1;
    model->running--;
    policy->leave(model, request);
    pool_start_queued(model);
    if (elapsed > kinds[request->kind].deadline_us) {
        return;
    }
    if (model->now_us >= TAIL_START_US) {
        model->tail_completed_us += (double)request->service_us;
    }
    else if (model->now_us >= MEASURE_START_US) {
        tally->completed_us += (double)request->service_us;
        tally->completed++;
        if (request->workspace != 0 && request->kind == 0) {
            model->lookup_latencies_us[model->lookup_count++] =
                (double)elapsed;
        }
    }
}

/** Exchanges the usage of all hosts, every PPS_ADMISSION_PERIOD_US. */
static void
gossip(overload_t *model)
{
    for (int h = 0; h < HOSTS; h++) {
        pps_usage_t usage[WORKSPACES];
        size_t count =
            pps_admission_get_usage(model->admissions[h], usage, WORKSPACES);
        char name[12];

        snprintf(name, sizeof(name), "h%d", h);
        for (int other = 0; other < HOSTS; other++) {
            if (other != h) {
                pps_admission_update_peer(model->admissions[other], name,
                                          usage, count, model->now_us);
            }
        }
    }
    for (int h = 0; h < HOSTS; h++) {
        pps_admission_set_capacity(model->admissions[h], model->slots);
        pps_admission_tick(model->admissions[h], model->now_us);
    }
    heap_push(&model->heap, (event_t){model->now_us + PPS_ADMISSION_PERIOD_US,
                                      GOSSIP, 0, 0});
}

static void
handle(overload_t *model, const policy_t *policy, event_t event)
{
    switch (event.kind) {
    case ARRIVAL:
        arrive(model, policy, event.index);
        break;
    case FINISH:
        finish(model, policy, event.index);
        break;
    case RETRY:
        send_attempt(model, policy, event.index);
        break;
    case CALLER_TIMEOUT:
        caller_timeout(model, policy, event.index);
        break;
    case GOSSIP:
        gossip(model);
        break;
    case CAPACITY_LOST:
        model->slots = (int)(SLOTS * model->scenario.slots_share);
        break;
    default:
        model->slots = SLOTS;
        pool_start_queued(model);
        break;
    }
}

static void
overload_run(overload_t *model, const scenario_t *scenario,
             const policy_t *policy, uint64_t seed)
{
    memset(model, 0, sizeof(*model));
    model->scenario = *scenario;
    model->slots = SLOTS;
    pps_rng_init(&model->arrivals, seed);
    pps_rng_init(&model->rng, seed + 1000);
    for (int h = 0; h < HOSTS; h++) {
        pps_admission_new(&model->admissions[h]);
    }
    heap_push(&model->heap, (event_t){0, GOSSIP, 0, 0});
    for (int w = 0; w < WORKSPACES; w++) {
        heap_push(&model->heap, (event_t){1, ARRIVAL, w, 0});
    }
    if (scenario->loss_start_us > 0) {
        heap_push(&model->heap,
                  (event_t){scenario->loss_start_us, CAPACITY_LOST, 0, 0});
        heap_push(&model->heap,
                  (event_t){scenario->loss_end_us, CAPACITY_RESTORED, 0, 0});
    }
    while (model->now_us < RUN_US && model->request_count < REQUESTS_MAX - 1) {
        event_t event = heap_pop(&model->heap);

        model->now_us = event.at_us;
        handle(model, policy, event);
    }
    for (int h = 0; h < HOSTS; h++) {
        pps_admission_free(model->admissions[h]);
    }
}

#endif
