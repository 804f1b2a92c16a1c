/**
 * @file policy_overload.h
 * @brief A pool with a priority queue, its callers and their retries.
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
#define TRIES 4

/** Times, in microseconds. */
#define SECOND_US 1000000
#define RUN_US (60 * SECOND_US)
#define FROM_US (10 * SECOND_US)
#define TAIL_US (50 * SECOND_US)
#define CLIENT_RETRY_US SECOND_US

/** A kind of request: how often, how long, until when. */
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

/** What happens to the pool and its callers. */
typedef struct {
    const char *name;
    double others; /**< load by workspaces 1 and up, in capacities */
    double first;  /**< load by workspace 0 */
    int64_t cut_us;
    int64_t restored_us;
    double left; /**< of the slots between the two */
} scenario_t;

/** A request under way. */
typedef struct {
    int64_t arrived_us;
    int64_t service_us;
    int workspace;
    int kind;
    int host;
    int tries;
    int finished;
    int next; /**< in the pool's queue */
} request_t;

/** How an answer turned out, added up. */
typedef struct {
    double offered_us; /**< by workspace, of the measured requests */
    double done_us;    /**< finished by the deadline */
    int offered;
    int done;
} tally_t;

/** The whole model. */
typedef struct {
    scenario_t scenario;
    pps_rng_t arrivals;
    pps_rng_t rng;
    heap_t heap;
    request_t requests[REQUESTS_MAX];
    int request_count;
    int head[KINDS]; /**< queue of each priority, index + 1 */
    int tail[KINDS];
    int running;
    int slots;
    pps_admission_t *admissions[HOSTS];
    int used[HOSTS][WORKSPACES];
    int64_t now_us;
    tally_t tallies[WORKSPACES];
    double tail_done_us;
    double lookups[REQUESTS_MAX]; /**< of the other workspaces */
    int lookup_count;
} overload_t;

/** Decides at a host. @return 0, or a negative number with a retry time */
typedef struct {
    const char *name;
    int (*enter)(overload_t *model, const request_t *request,
                 int64_t *retry_after_us);
    void (*leave)(overload_t *model, const request_t *request);
} policy_t;

enum { ARRIVAL, FINISH, RETRY, GIVE_UP, GOSSIP, CUT, RESTORED };

static void
pool_serve(overload_t *model)
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
pool_queue(overload_t *model, int index)
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
    pool_serve(model);
}

static void
try_once(overload_t *model, const policy_t *policy, int index)
{
    request_t *request = &model->requests[index];
    int64_t retry_after_us = CLIENT_RETRY_US;

    if (policy->enter(model, request, &retry_after_us) == 0) {
        heap_push(&model->heap,
                  (event_t){model->now_us + kinds[request->kind].deadline_us,
                            GIVE_UP, index, 0});
        pool_queue(model, index);
    }
    else if (++request->tries < TRIES) {
        heap_push(&model->heap,
                  (event_t){model->now_us + retry_after_us, RETRY, index, 0});
    }
}

/** A caller asks anew; the pool still runs what it asked before. */
static void
give_up(overload_t *model, const policy_t *policy, int index)
{
    const request_t *request = &model->requests[index];
    int again = model->request_count;

    if (request->finished || request->tries + 1 >= TRIES ||
        again >= REQUESTS_MAX - 1) {
        return;
    }
    model->request_count++;
    model->requests[again] = *request;
    model->requests[again].tries++;
    model->requests[again].arrived_us = model->now_us;
    try_once(model, policy, again);
}

static void
arrive(overload_t *model, const policy_t *policy, int workspace)
{
    double weights[KINDS];
    double mean = 0.0;
    double load = workspace == 0 ? model->scenario.first
                                 : model->scenario.others / (WORKSPACES - 1);
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
    if (model->now_us >= FROM_US && model->now_us < TAIL_US) {
        model->tallies[workspace].offered_us += (double)request->service_us;
        model->tallies[workspace].offered++;
    }
    try_once(model, policy, index);
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
    pool_serve(model);
    if (elapsed > kinds[request->kind].deadline_us) {
        return;
    }
    if (model->now_us >= TAIL_US) {
        model->tail_done_us += (double)request->service_us;
    }
    else if (model->now_us >= FROM_US) {
        tally->done_us += (double)request->service_us;
        tally->done++;
        if (request->workspace != 0 && request->kind == 0) {
            model->lookups[model->lookup_count++] = (double)elapsed;
        }
    }
}

/** All hosts hear of each other, 200 ms apart. */
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
        try_once(model, policy, event.index);
        break;
    case GIVE_UP:
        give_up(model, policy, event.index);
        break;
    case GOSSIP:
        gossip(model);
        break;
    case CUT:
        model->slots = (int)(SLOTS * model->scenario.left);
        break;
    default:
        model->slots = SLOTS;
        pool_serve(model);
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
    if (scenario->cut_us > 0) {
        heap_push(&model->heap, (event_t){scenario->cut_us, CUT, 0, 0});
        heap_push(&model->heap,
                  (event_t){scenario->restored_us, RESTORED, 0, 0});
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
