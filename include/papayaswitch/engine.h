/**
 * @file engine.h
 * @brief Model engines, as a table of functions.
 */
#ifndef PAPAYASWITCH_ENGINE_H
#define PAPAYASWITCH_ENGINE_H

#include "papayaswitch/refusal.h"

#include <stdint.h>

#define PPS_ENGINE_BACKEND_VERSION 1

/** What a worker answered instead of running a request. */
typedef struct {
    pps_refusal_t reason;
    int retry_after_s; /**< -1 when not told */
} pps_refusal_answer_t;

/** A request to generate. Strings are borrowed for the call. */
typedef struct {
    const char *request_id;
    const char *version;
    const char *prompt;
    uint32_t max_tokens;
    int priority;
    uint64_t resume_from; /**< index of the first token wanted */
    uint64_t revision;    /**< revision of the catalog it was decided on */
} pps_generate_t;

/** Kinds of event in an engine's stream. */
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

/** A stream under way; belongs to one thread. */
typedef struct pps_engine_stream pps_engine_stream_t;

/** A way to reach engines. */
typedef struct pps_engine_backend {
    unsigned int version;

    /**
     * Asks the worker at address and port to generate.
     * @return 0; PPS_EREFUSED with `refusal` set; PPS_EUNAVAILABLE when
     *         surely nothing was sent; PPS_ETIMEOUT, PPS_EUNKNOWN
     */
    int (*open)(struct pps_engine_backend *self, pps_engine_stream_t **out,
                const char *address, unsigned int port,
                const pps_generate_t *request, int timeout_ms,
                pps_refusal_answer_t *refusal);

    /**
     * The next event, waiting up to `wait_ms`.
     * @return 1 with an event; 0 at the engine's own end mark; PPS_ETIMEOUT
     *         when silent; PPS_EUNKNOWN when cut; PPS_ECORRUPT
     */
    int (*next)(pps_engine_stream_t *stream, pps_engine_event_t *out,
                int wait_ms);

    /** Closes a stream, whole or not. */
    void (*close)(pps_engine_stream_t *stream);

    /** Tells the worker that nobody wants the answer any more. */
    int (*cancel)(struct pps_engine_backend *self, const char *address,
                  unsigned int port, const char *request_id);

    /** Frees the backend. */
    void (*free)(struct pps_engine_backend *self);
} pps_engine_backend_t;

/** Makes the backend that speaks HTTP with server-sent events. */
int
pps_engine_http_new(pps_engine_backend_t **out);

#endif
