/**
 * @file answer.h
 * @brief Obtains the answer to a chat request from the workers of a version.
 *
 * Until a worker has accepted the request, other workers and versions are
 * tried. After that the version is fixed, and a stream that fails is resumed
 * after the last emitted token. An answer is used by one thread.
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

/** Options and dependencies of an answer; pointers are borrowed. */
typedef struct {
    unsigned int version;
    pps_engine_backend_t *engine;
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    pps_worker_view_t *workers;
    const pps_quality_source_t *quality; /**< NULL: declared quality */
    double price; /**< per unit of rating; see pps_choice_version_input_t */
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
    int attempts_max; /**< maximum number of attempts until a worker accepts,
                         then of consecutive streams without a new token */
    /** Returns whether this host may start the request now; called right
     * before each attempt until a worker has accepted. */
    int (*may_start)(void *user, const pps_version_t *version);
    /**
     * Requests admission to the pool of the selected version.
     * @return 0; PPS_EREFUSED: over the share, or the pool is full;
     *         PPS_ETIMEOUT: it would not finish by its deadline; both set the
     *         time until a retry
     */
    int (*enter_pool)(void *user, const char *upstream,
                      int64_t *retry_after_us);
    /**
     * Returns whether the retry budget allows one more attempt; not called
     * after a worker has accepted the request.
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

/** Why an answer could not be opened; no worker opened a stream for it. */
typedef struct {
    int error;        /**< error that pps_answer_open() returned */
    int over_share;   /**< enter_pool: over its share, or pool full */
    int may_have_run; /**< a worker that did not answer may run the request */
    pps_refusal_t last_refusal; /**< reason of the last worker tried, if any */
    int64_t retry_after_us; /**< time until a retry; 1 s if none is known */
} pps_answer_refusal_t;

/** Usage and origin of an answer. */
typedef struct {
    const char *version; /**< owned by the catalog */
    const char *upstream;
    const char *worker; /**< last one used; owned by the view */
    double cost;        /**< price of 1,000 generated tokens */
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    const char *finish_reason;
    int attempts;
} pps_answer_usage_t;

/** An open answer. */
typedef struct pps_answer pps_answer_t;

/**
 * Selects a version and a worker and starts the request.
 * @return 0; PPS_EUNAVAILABLE: no worker can accept it now;
 *         PPS_ECLOSED: this host may not start work;
 *         PPS_ETIMEOUT: the deadline has passed; PPS_ENOMEM; an error of
 *         pps_choice_select_version() or of enter_pool, such as
 *         PPS_ENOTFOUND: unknown model; PPS_EINVALID: not allowed;
 *         PPS_EEXPIRED: the session's version was withdrawn;
 *         PPS_EREFUSED: over the workspace's share, or the pool is full
 */
int
pps_answer_open(pps_answer_t **out, const pps_answer_options_t *options,
                pps_answer_refusal_t *refusal);

/**
 * Appends received tokens to `text`, waiting up to `wait_ms` for an event.
 * @return 1 if the answer continues; 0 if it is complete; a negative code if
 *         it has failed and the caller of the API must receive an error
 */
int
pps_answer_read(pps_answer_t *answer, pps_buf_t *text, int wait_ms);

/** Returns the usage so far in `out`. */
void
pps_answer_usage(const pps_answer_t *answer, pps_answer_usage_t *out);

/** Closes an answer; cancels it at the worker if it is not complete. NULL is
 * allowed. */
void
pps_answer_close(pps_answer_t *answer);

#endif
