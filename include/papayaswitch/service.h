/**
 * @file service.h
 * @brief Interface of the backends that call services without a model.
 */
#ifndef PAPAYASWITCH_SERVICE_H
#define PAPAYASWITCH_SERVICE_H

#include "papayaswitch/engine.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_SERVICE_BACKEND_VERSION 1

/** Size of a content type, with its NUL byte. */
#define PPS_SERVICE_CONTENT_TYPE_BYTES 96

/** Call of a service. Strings are borrowed. */
typedef struct {
    const char *method;
    const char *path; /**< below the service's root, without leading slash */
    const char *request_id;
    const char *content_type; /**< of the body, or NULL */
    const void *body;
    size_t body_size;
    const char *key;  /**< idempotency key as `WORKSPACE:KEY`, or NULL */
    uint64_t fencing; /**< fencing number, if there is a key */
    int once;         /**< nonzero: must not be sent twice */
} pps_service_request_t;

/** Reply of a service; free with pps_service_answer_clear(). */
typedef struct {
    int status;
    char content_type[PPS_SERVICE_CONTENT_TYPE_BYTES];
    void *body;
    size_t body_size;
} pps_service_answer_t;

/** Outcome of a call whose reply was lost, as the service reports it. */
typedef enum {
    PPS_SERVICE_RUN_UNKNOWN, /**< the service does not report it as done */
    PPS_SERVICE_RUN_DONE,    /**< the service has run the call */
} pps_service_run_t;

/** Backend, the first member of each implementation. */
typedef struct pps_service_backend {
    unsigned int version;

    /**
     * Calls a service.
     * @return 0 with a reply; PPS_EREFUSED: not run, as the service reports;
     *         PPS_EUNAVAILABLE: not sent; PPS_ETIMEOUT or PPS_EUNKNOWN: it may
     *         have run
     */
    int (*call)(struct pps_service_backend *self, pps_service_answer_t *out,
                const char *address, unsigned int port,
                const pps_service_request_t *request, int timeout_ms,
                pps_refusal_answer_t *refusal);

    /** Requests the outcome of a key, on a new connection. */
    int (*outcome)(struct pps_service_backend *self, pps_service_run_t *out,
                   const char *address, unsigned int port, const char *key);

    /** Frees the backend. */
    void (*free)(struct pps_service_backend *self);
} pps_service_backend_t;

/** Creates a backend over HTTP. @return 0 or PPS_ENOMEM */
int
pps_service_http_new(pps_service_backend_t **out);

/** Frees the body of a reply. */
void
pps_service_answer_clear(pps_service_answer_t *answer);

#endif
