/**
 * @file engine.h
 * @brief State and HTTP handlers of the engine stand-in.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "prefix_cache.h"
#include "scheduler.h"
#include "standin_faults.h"
#include "standin_lagged.h"
#include "version_set.h"

/** Settings of the command line. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *versions; /**< versions loaded at the start, comma-separated */
    const char *failure_domain;
    int slots; /**< maximum number of concurrent runs */
    int queue_max;
    int token_us;       /**< duration of a token step */
    int checks_fencing; /**< whether stale orders and requests are refused */
    int load_lag_ms;    /**< delay of the reported load and cache events */
    int version_load_ms;
    int cache_blocks;
} engine_options_t;

/** State of the stand-in; the scheduler's lock guards the fields after it. */
typedef struct {
    engine_options_t options;
    standin_faults_t faults;
    standin_lagged_t load;
    scheduler_t scheduler;
    run_log_t runs;
    version_set_t versions;
    prefix_cache_t cache;
    int draining;
    int64_t fencing;  /**< highest number of the executed orders */
    int64_t revision; /**< highest revision of the executed orders */
} engine_t;

int
engine_init(engine_t *engine, const engine_options_t *options);

void
engine_clear(engine_t *engine);

/**
 * Starts a run, which the caller releases by scheduler_release().
 * @return the reason of a refusal, or STANDIN_REFUSAL_NONE
 */
standin_refusal_t
engine_start_run(engine_t *engine, run_t **out,
                 const generate_request_t *request);

/** Updates the reported load. The caller holds the scheduler's lock. */
void
engine_publish_load(void *engine);

/** Handles `POST /generate`. */
int
engine_generate(const struct _u_request *request, struct _u_response *response,
                void *user);

/** Handles `POST /cancel`. */
int
engine_cancel(const struct _u_request *request, struct _u_response *response,
              void *user);

/** Handles `POST /orders`. */
int
engine_orders_post(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `GET /outcome/REQUEST_ID`. */
int
engine_outcome_get(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `GET /load`. */
int
engine_load_get(const struct _u_request *request, struct _u_response *response,
                void *user);

/** Handles `GET /runs`. */
int
engine_runs_get(const struct _u_request *request, struct _u_response *response,
                void *user);

/** Handles `GET /cache/events`. */
int
engine_cache_events_get(const struct _u_request *request,
                        struct _u_response *response, void *user);

/** Handles `GET /faults`. */
int
engine_faults_get(const struct _u_request *request,
                  struct _u_response *response, void *user);

/** Handles `PUT /faults`. */
int
engine_faults_put(const struct _u_request *request,
                  struct _u_response *response, void *user);

#endif
