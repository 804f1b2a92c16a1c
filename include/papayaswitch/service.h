/**
 * @file service.h
 * @brief Plain services beside the engines, as a table of functions.
 */
#ifndef PAPAYASWITCH_SERVICE_H
#define PAPAYASWITCH_SERVICE_H

#include "papayaswitch/engine.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_SERVICE_BACKEND_VERSION 1

/** Room for a content type, its end included. */
#define PPS_SERVICE_CONTENT_TYPE_BYTES 96

/** A call. Strings are borrowed. */
typedef struct {
    const char *method;
    const char *path; /**< behind the service's root, without leading slash */
    const char *request_id;
    const char *content_type; /**< of the body, or NULL */
    const void *body;
    size_t body_size;
    const char *key;  /**< `WORKSPACE:KEY` to run once, or NULL */
    uint64_t fencing; /**< fencing number, with a key */
    int once;         /**< must not be sent twice */
} pps_service_request_t;

/** An answer; free with pps_service_answer_clear(). */
typedef struct {
    int status;
    char content_type[PPS_SERVICE_CONTENT_TYPE_BYTES];
    void *body;
    size_t body_size;
} pps_service_answer_t;

/** What a service says of a call that got no answer. */
typedef enum {
    PPS_SERVICE_RUN_UNKNOWN, /**< it does not know the key */
    PPS_SERVICE_RUN_DONE,    /**< it has run it */
} pps_service_run_t;

/** A way to reach plain services. */
typedef struct pps_service_backend {
    unsigned int version;

    /**
     * Makes a call.
     * @return 0 with an answer; PPS_EREFUSED: the service says that it did
     *         not run it; PPS_EUNAVAILABLE: surely not sent; PPS_ETIMEOUT or
     *         PPS_EUNKNOWN: it may have run
     */
    int (*call)(struct pps_service_backend *self, pps_service_answer_t *out,
                const char *address, unsigned int port,
                const pps_service_request_t *request, int timeout_ms,
                pps_refusal_answer_t *refusal);

    /** Asks on a new connection what became of a key. */
    int (*outcome)(struct pps_service_backend *self, pps_service_run_t *out,
                   const char *address, unsigned int port, const char *key);

    /** Frees the backend. */
    void (*free)(struct pps_service_backend *self);
} pps_service_backend_t;

/** Makes the backend that speaks HTTP. */
int
pps_service_http_new(pps_service_backend_t **out);

/** Frees the parts of an answer. */
void
pps_service_answer_clear(pps_service_answer_t *answer);

#endif
