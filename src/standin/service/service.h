/**
 * @file service.h
 * @brief A plain service: acts that may not be repeated, and lookups.
 */
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include "call_store.h"
#include "standin_faults.h"
#include "standin_lagged.h"

/** What the command line sets. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *failure_domain;
    int checks_fencing;
    int slots;
    int call_us;
    int load_lag_ms;
} service_options_t;

/** The whole stand-in; `user` of every handler. */
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

/** Takes a slot. @return why not, or STANDIN_REFUSAL_NONE */
standin_refusal_t
service_enter(service_t *service);

/** Gives the slot back. */
void
service_leave(service_t *service);

/** Refuses new calls or takes them again. */
void
service_drain(service_t *service, int draining);

/** `POST /call/PATH` */
int
service_call_act(const struct _u_request *request,
                 struct _u_response *response, void *user);

/** `GET /call/PATH` */
int
service_call_lookup(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** `GET /load` */
int
service_load_get(const struct _u_request *request,
                 struct _u_response *response, void *user);

/** `GET /runs` */
int
service_runs_get(const struct _u_request *request,
                 struct _u_response *response, void *user);

/** `GET /outcome/KEY` */
int
service_outcome_get(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** `POST /orders` */
int
service_orders_post(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** `GET /faults` */
int
service_faults_get(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** `PUT /faults` */
int
service_faults_put(const struct _u_request *request,
                   struct _u_response *response, void *user);

#endif
