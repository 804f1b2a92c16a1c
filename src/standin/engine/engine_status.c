/** @file engine_status.c @brief Reports load, runs, outcomes, cache events. */
#include "clock.h"
#include "engine.h"
#include "standin_request.h"

#include <stdlib.h>

#define OUTCOME_PREFIX "/outcome/"

int
engine_load_get(const struct _u_request *request, struct _u_response *response,
                void *user)
{
    engine_t *engine = user;

    pps_http_reply_json(response, 200, standin_lagged_get(&engine->load));
    return U_CALLBACK_COMPLETE;
}

int
engine_runs_get(const struct _u_request *request, struct _u_response *response,
                void *user)
{
    engine_t *engine = user;
    json_t *runs;

    pthread_mutex_lock(&engine->scheduler.lock);
    runs = run_log_json(&engine->runs);
    pthread_mutex_unlock(&engine->scheduler.lock);
    pps_http_reply_json(response, 200, runs);
    return U_CALLBACK_COMPLETE;
}

int
engine_outcome_get(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    engine_t *engine = user;
    char *id = standin_request_path_suffix(request, OUTCOME_PREFIX);
    json_t *outcome;

    pthread_mutex_lock(&engine->scheduler.lock);
    outcome = run_log_outcome(&engine->runs, id);
    pthread_mutex_unlock(&engine->scheduler.lock);
    free(id);
    pps_http_reply_json(response, 200, outcome);
    return U_CALLBACK_COMPLETE;
}

int
engine_cache_events_get(const struct _u_request *request,
                        struct _u_response *response, void *user)
{
    engine_t *engine = user;
    uint64_t from = (uint64_t)standin_request_int(request, "from", 0);
    int64_t until_us =
        pps_clock_now_us() - engine->options.load_lag_ms * PPS_US_PER_MS;
    json_t *events;

    pthread_mutex_lock(&engine->scheduler.lock);
    events = prefix_cache_events(&engine->cache, from, until_us);
    pthread_mutex_unlock(&engine->scheduler.lock);
    pps_http_reply_json(response, 200, events);
    return U_CALLBACK_COMPLETE;
}

int
engine_faults_get(const struct _u_request *request,
                  struct _u_response *response, void *user)
{
    engine_t *engine = user;

    return standin_faults_handle_get(&engine->faults, response);
}

int
engine_faults_put(const struct _u_request *request,
                  struct _u_response *response, void *user)
{
    engine_t *engine = user;

    return standin_faults_handle_put(&engine->faults, request, response);
}
