/**
 * @file platform.h
 * @brief State and HTTP handlers of the platform stand-in.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "log_service.h"
#include "ratings.h"
#include "standin_faults.h"
#include "standin_lagged.h"
#include "weight_store.h"

/** State of the stand-in; the `user` argument of every handler. */
typedef struct {
    standin_faults_t faults;
    log_service_t log;
    standin_lagged_t hosts;
    ratings_t ratings;
    weight_store_t weights;
} platform_t;

/** Handles `POST /log/:stream/append`. */
int
platform_log_append(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** Handles `GET /log/:stream`. */
int
platform_log_read(const struct _u_request *request,
                  struct _u_response *response, void *user);

/** Handles `GET /hosts`. */
int
platform_hosts_get(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `PUT /hosts`. */
int
platform_hosts_put(const struct _u_request *request,
                   struct _u_response *response, void *user);

/** Handles `POST /ratings`. */
int
platform_ratings_add(const struct _u_request *request,
                     struct _u_response *response, void *user);

/** Handles `GET /ratings`. */
int
platform_ratings_get(const struct _u_request *request,
                     struct _u_response *response, void *user);

/** Handles `GET /weights/VERSION`. */
int
platform_weights_get(const struct _u_request *request,
                     struct _u_response *response, void *user);

/** Handles `GET /faults`. */
int
platform_faults_get(const struct _u_request *request,
                    struct _u_response *response, void *user);

/** Handles `PUT /faults`. */
int
platform_faults_put(const struct _u_request *request,
                    struct _u_response *response, void *user);

#endif
