/**
 * @file service.h
 * @brief Stand-in of a service with non-idempotent writes and with lookups.
 */
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include "call_store.h"
#include "standin_faults.h"
#include "standin_lagged.h"

/** Settings of the command line. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *failure_domain;
    int checks_fencing; /**< whether stale fencing numbers are refused */
    int slots;
    int call_us;     /**< duration of a call */
    int load_lag_ms; /**< delay of the reported load */
} service_options_t;

/** State of the stand-in; the `user` argument of every handler. */
typedef struct {
    service_options_t options;
    standin_faults_t faults;
    standin_lagged_t load;
    call_store_t calls;
    pthread_mutex_t lock; /**< guards the two fields below */
    int running;
    int draining;
} service_t;

int
service_init(service_t *service, const service_options_t *options);

void
service_clear(service_t *service);

/** Acquires a slot. @return the refusal, or STANDIN_REFUSAL_NONE */
standin_refusal_t
service_acquire_slot(service_t *service);

/** Releases a slot. */
void
service_release_slot(service_t *service);

/** Sets whether new calls are refused because the service drains. */
void
service_set_draining(service_t *service, int draining);

/** Handles `POST`, `PUT` and `DELETE /call/PATH`. */
int
service_call_write(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `GET /call/PATH`. */
int
service_call_lookup(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** Handles `GET /load`. */
int
service_load_get(const struct _u_request *request,
                 struct _u_response *response, void *user);

/** Handles `GET /runs`. */
int
service_runs_get(const struct _u_request *request,
                 struct _u_response *response, void *user);

/** Handles `GET /outcome/KEY`. */
int
service_outcome_get(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** Handles `POST /orders`. */
int
service_orders_post(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** Handles `GET /faults`. */
int
service_faults_get(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `PUT /faults`. */
int
service_faults_put(const struct _u_request *request,
                   struct _u_response *response, void *user);

#endif
