/** @file engine.c @brief Admission and load of the engine. */
#include "engine.h"

#include "clock.h"
#include "fault_plan.h"
#include "papayaswitch/errors.h"

#include <string.h>

/* The prefill of a block takes a quarter of a token step. */
#define PREFILL_BLOCKS_PER_STEP 4

static json_t *
load_json(const engine_t *engine)
{
    return json_pack(
        "{s:s,s:s,s:s,s:i,s:i,s:i,s:o,s:b}", "id", engine->options.id,
        "upstream", engine->options.upstream, "failure_domain",
        engine->options.failure_domain, "slots", engine->options.slots,
        "running", engine->scheduler.running_count, "queued",
        engine->scheduler.queued_count, "versions",
        version_set_json(&engine->versions), "draining", engine->draining);
}

void
engine_publish_load(void *engine)
{
    engine_t *self = engine;

    standin_lagged_set(&self->load, load_json(self));
}

static void
on_faults_change(const json_t *change, void *user)
{
    engine_t *engine = user;
    json_t *values = standin_faults_copy(&engine->faults);

    pthread_mutex_lock(&engine->scheduler.lock);
    engine->scheduler.slow_factor =
        json_number_value(json_object_get(values, "slow_factor"));
    pthread_mutex_unlock(&engine->scheduler.lock);
    json_decref(values);
}

static void
init_scheduler(engine_t *engine)
{
    scheduler_t *scheduler = &engine->scheduler;

    scheduler->slots = engine->options.slots;
    scheduler->queue_max = engine->options.queue_max;
    scheduler->token_us = engine->options.token_us;
    scheduler->slow_factor = 1;
    scheduler->on_change = engine_publish_load;
    scheduler->user = engine;
}

int
engine_init(engine_t *engine, const engine_options_t *options)
{
    int error;

    memset(engine, 0, sizeof(*engine));
    engine->options = *options;
    prefix_cache_init(&engine->cache, (size_t)options->cache_blocks);
    error = version_set_init(&engine->versions, options->versions);
    if (error < 0) {
        return error;
    }
    error = standin_faults_init(&engine->faults, fault_plan_defaults());
    if (error < 0) {
        return error;
    }
    engine->faults.on_change = on_faults_change;
    engine->faults.user = engine;
    error = standin_lagged_init(&engine->load,
                                options->load_lag_ms * PPS_US_PER_MS,
                                load_json(engine));
    if (error < 0) {
        return error;
    }
    init_scheduler(engine);
    return scheduler_start(&engine->scheduler);
}

void
engine_clear(engine_t *engine)
{
    scheduler_stop(&engine->scheduler);
    run_log_clear(&engine->runs);
    prefix_cache_clear(&engine->cache);
    standin_lagged_clear(&engine->load);
    standin_faults_clear(&engine->faults);
}

static standin_refusal_t
check_admission(const engine_t *engine, const generate_request_t *request)
{
    if (engine->draining) {
        return STANDIN_REFUSAL_DRAINING;
    }
    if (engine->options.checks_fencing &&
        request->revision < engine->revision) {
        return STANDIN_REFUSAL_STALE_REVISION;
    }
    if (!version_set_has(&engine->versions, request->version)) {
        return STANDIN_REFUSAL_VERSION_NOT_LOADED;
    }
    if (scheduler_is_full(&engine->scheduler)) {
        return STANDIN_REFUSAL_FULL;
    }
    return STANDIN_REFUSAL_NONE;
}

static int
create_run(engine_t *engine, run_t **out, const generate_request_t *request)
{
    size_t missed_count;
    int error = run_new(out, request);

    if (error < 0) {
        return error;
    }
    error = run_log_count_start(&engine->runs, &(*out)->entry,
                                request->request_id, request->version);
    if (error < 0) {
        run_unref(*out);
        return error;
    }
    missed_count =
        prefix_cache_use(&engine->cache, request->version, request->prompt);
    (*out)->prefill_us = (int64_t)missed_count * engine->options.token_us /
                         PREFILL_BLOCKS_PER_STEP;
    scheduler_add(&engine->scheduler, *out);
    return PPS_OK;
}

standin_refusal_t
engine_start_run(engine_t *engine, run_t **out,
                 const generate_request_t *request)
{
    standin_refusal_t refusal = standin_faults_next_refusal(&engine->faults);

    if (refusal != STANDIN_REFUSAL_NONE) {
        return refusal;
    }
    pthread_mutex_lock(&engine->scheduler.lock);
    refusal = check_admission(engine, request);
    if (refusal == STANDIN_REFUSAL_NONE &&
        create_run(engine, out, request) < 0) {
        refusal = STANDIN_REFUSAL_BROKEN;
    }
    pthread_mutex_unlock(&engine->scheduler.lock);
    return refusal;
}
