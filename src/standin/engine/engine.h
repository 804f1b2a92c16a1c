/**
 * @file engine.h
 * @brief A model engine: batches, prefix cache, orders, streams.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "prefix_cache.h"
#include "scheduler.h"
#include "standin_faults.h"
#include "standin_lagged.h"
#include "version_set.h"

/** What the command line sets. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *versions;
    const char *failure_domain;
    int slots;
    int queue;
    int token_us;
    int checks_fencing;
    int load_lag_ms;
    int load_ms;
    int cache_blocks;
} engine_options_t;

/** The whole stand-in; the scheduler's lock guards what follows it. */
typedef struct {
    engine_options_t options;
    standin_faults_t faults;
    standin_lagged_t load;
    scheduler_t scheduler;
    run_log_t runs;
    version_set_t versions;
    prefix_cache_t cache;
    int draining;
    int64_t fencing;  /**< highest of the orders */
    int64_t revision; /**< highest of the orders */
} engine_t;

int
engine_init(engine_t *engine, const engine_options_t *options);

void
engine_clear(engine_t *engine);

/**
 * Starts a run; the caller gives it back by scheduler_release().
 * @return why not, or STANDIN_REFUSAL_NONE
 */
standin_refusal_t
engine_start(engine_t *engine, run_t **out, const generate_request_t *request);

/** Publishes the load as it is now. The scheduler's lock is held. */
void
engine_publish_load(void *engine);

/** `POST /generate` */
int
engine_generate(const struct _u_request *request, struct _u_response *response,
                void *user);

/** `POST /cancel` */
int
engine_cancel(const struct _u_request *request, struct _u_response *response,
              void *user);

/** `POST /orders` */
int
engine_orders_post(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** `GET /outcome/REQUEST_ID` */
int
engine_outcome_get(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** `GET /load` */
int
engine_load_get(const struct _u_request *request, struct _u_response *response,
                void *user);

/** `GET /runs` */
int
engine_runs_get(const struct _u_request *request, struct _u_response *response,
                void *user);

/** `GET /cache/events` */
int
engine_cache_events_get(const struct _u_request *request,
                        struct _u_response *response, void *user);

/** `GET /faults` */
int
engine_faults_get(const struct _u_request *request,
                  struct _u_response *response, void *user);

/** `PUT /faults` */
int
engine_faults_put(const struct _u_request *request,
                  struct _u_response *response, void *user);

#endif
