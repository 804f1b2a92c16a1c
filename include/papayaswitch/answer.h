/**
 * @file answer.h
 * @brief One request's answer: chosen, opened, continued, whole or explicit.
 *
 * Until a worker has taken the request it may go to any other; from then on
 * it stays on its version, and a stream that breaks is continued behind the
 * last token handed on. An answer belongs to one thread.
 */
#ifndef PAPAYASWITCH_ANSWER_H
#define PAPAYASWITCH_ANSWER_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/choice.h"
#include "papayaswitch/engine.h"
#include "papayaswitch/worker_view.h"

#include "buf.h"

#include <stdint.h>

#define PPS_ANSWER_OPTIONS_VERSION 1

/** What an answer needs from its surroundings; all borrowed. */
typedef struct {
    unsigned int version;
    pps_engine_backend_t *engine;
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    pps_worker_view_t *workers;
    const pps_quality_source_t *quality; /**< NULL: declared quality */
    double price; /**< of quality; see pps_choice_version_input_t */
    pps_name_set_t held;
    pps_rng_t *rng;
    const char *failure_domain;
    const char *request_id;
    const char *model;
    const char *kind;
    const char *pinned; /**< version of the session, or NULL */
    const char *prompt;
    uint32_t max_tokens;
    int priority;
    uint64_t affinity;
    int64_t deadline_us; /**< on pps_clock_now_us() */
    int answer_timeout_ms;
    int silence_timeout_ms;
    int attempts_max; /**< streams opened for one answer, the first included */
    /** Whether this host may start it now; asked next to the first send. */
    int (*may_start)(void *user, const pps_version_t *version);
    /**
     * Asks for a place in the pool of the version that was chosen.
     * @return 0; PPS_EREFUSED or PPS_ETIMEOUT with the time to come back
     */
    int (*enter_pool)(void *user, const char *upstream,
                      int64_t *retry_after_us);
    /**
     * Whether one more attempt is within the budget of retries; not asked
     * once a worker has taken the request.
     */
    int (*may_retry)(void *user);
    void *user;
} pps_answer_options_t;

#define PPS_ANSWER_OPTIONS_INIT                                               \
    {                                                                         \
        .version = PPS_ANSWER_OPTIONS_VERSION, .attempts_max = 4,             \
        .answer_timeout_ms = 30000, .silence_timeout_ms = 5000,               \
        .failure_domain = "", .kind = ""                                      \
    }

/** Why an answer was not opened: the request was not run. */
typedef struct {
    int error;          /**< as pps_answer_open() returned */
    int over_share;     /**< enter_pool refused: the workspace asks too much */
    pps_refusal_t last; /**< the last worker's word, if any */
    int64_t retry_after_us; /**< 0 when coming back does not help */
} pps_answer_refusal_t;

/** What an answer came to. */
typedef struct {
    const char *version; /**< owned by the catalog */
    const char *upstream;
    const char *worker; /**< that gave its end; owned by the view */
    double cost;        /**< price of 1,000 generated tokens */
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    const char *finish_reason;
    int attempts;
} pps_answer_usage_t;

/** An answer under way. */
typedef struct pps_answer pps_answer_t;

/**
 * Chooses version and worker and starts the request.
 * @return 0; PPS_ENOTFOUND: unknown model; PPS_EINVALID: not allowed;
 *         PPS_EEXPIRED: the session's version was withdrawn;
 *         PPS_EUNAVAILABLE: nobody can take it now;
 *         PPS_EREFUSED: the workspace is over its share of the pool;
 *         PPS_ECLOSED: this host may not start work;
 *         PPS_ETIMEOUT: the deadline passed; PPS_ENOMEM
 */
int
pps_answer_open(pps_answer_t **out, const pps_answer_options_t *options,
                pps_answer_refusal_t *refusal);

/**
 * Appends the tokens that have come to `text`, waiting up to `wait_ms`.
 * @return 1 when the answer goes on; 0 when it is whole; a negative number
 *         when it has failed for good and must be ended explicitly
 */
int
pps_answer_read(pps_answer_t *answer, pps_buf_t *text, int wait_ms);

/** What it came to so far. */
void
pps_answer_usage(const pps_answer_t *answer, pps_answer_usage_t *out);

/** Ends an answer; one that is not whole is cancelled at the worker. */
void
pps_answer_close(pps_answer_t *answer);

#endif
