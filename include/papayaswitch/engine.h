/**
 * @file engine.h
 * @brief Interface of the backends that send requests to model engines.
 */
#ifndef PAPAYASWITCH_ENGINE_H
#define PAPAYASWITCH_ENGINE_H

#include "papayaswitch/refusal.h"

#include <stdint.h>

#define PPS_ENGINE_BACKEND_VERSION 1

/** Reply of a worker that did not run a request. */
typedef struct {
    pps_refusal_t reason;
    int retry_after_s; /**< -1: the reply has none */
} pps_refusal_answer_t;

/** Request to generate tokens. Strings are borrowed for the call. */
typedef struct {
    const char *request_id;
    const char *version;
    const char *prompt;
    uint32_t max_tokens;
    int priority;
    uint64_t resume_from; /**< index of the first token to generate */
    uint64_t revision; /**< of the catalog that the version was chosen from */
} pps_generate_request_t;

/** Kinds of events in an engine's stream. */
typedef enum {
    PPS_ENGINE_TOKEN,
    PPS_ENGINE_FINISH,
} pps_engine_event_kind_t;

/** One event; strings are valid until the next call on the stream. */
typedef struct {
    pps_engine_event_kind_t kind;
    const char *request_id;
    const char *text;          /**< token only */
    uint64_t index;            /**< token only */
    const char *finish_reason; /**< finish only */
    uint64_t prompt_tokens;    /**< finish only */
    uint64_t generated_tokens; /**< finish only */
} pps_engine_event_t;

/** An open stream; used by one thread. */
typedef struct pps_engine_stream pps_engine_stream_t;

/** Backend, the first member of each implementation. */
typedef struct pps_engine_backend {
    unsigned int version;

    /**
     * Sends a request to a worker and opens the stream of its reply.
     * @return 0; PPS_EREFUSED with `refusal` set; PPS_EUNAVAILABLE if nothing
     *         was sent; PPS_ETIMEOUT or PPS_EUNKNOWN if it may have arrived
     */
    int (*open)(struct pps_engine_backend *self, pps_engine_stream_t **out,
                const char *address, unsigned int port,
                const pps_generate_request_t *request, int timeout_ms,
                pps_refusal_answer_t *refusal);

    /**
     * Reads the next event, waiting up to `wait_ms`.
     * @return 1 with an event; 0 at the engine's end marker; PPS_ETIMEOUT if
     *         nothing arrived; PPS_EUNKNOWN if the connection closed before
     *         that marker; PPS_ECORRUPT if the event is malformed
     */
    int (*next)(pps_engine_stream_t *stream, pps_engine_event_t *out,
                int wait_ms);

    /** Closes a stream, complete or not. */
    void (*close)(pps_engine_stream_t *stream);

    /** Asks the worker to stop generating for the request. */
    int (*cancel)(struct pps_engine_backend *self, const char *address,
                  unsigned int port, const char *request_id);

    /** Frees the backend. */
    void (*free)(struct pps_engine_backend *self);
} pps_engine_backend_t;

/** Creates a backend over HTTP with server-sent events.
 * @return 0 or PPS_ENOMEM */
int
pps_engine_http_new(pps_engine_backend_t **out);

#endif
