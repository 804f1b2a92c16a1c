/**
 * @file choice.h
 * @brief Selects the version and the worker that serve a request.
 *
 * The functions do no I/O, read no clock and keep no state: state, time and
 * the random number generator are arguments.
 */
#ifndef PAPAYASWITCH_CHOICE_H
#define PAPAYASWITCH_CHOICE_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/quality_price.h"
#include "papayaswitch/worker_view.h"
#include "rng.h"

/** Maximum number of versions of one model. */
#define PPS_CANDIDATES_MAX 64

/** Source of quality estimates, the first member of each implementation. */
typedef struct pps_quality_source {
    /** Estimates the rating of a version for one kind of request. */
    void (*estimate)(const struct pps_quality_source *self, pps_quality_t *out,
                     const char *workspace, const char *kind,
                     const pps_version_t *version);
} pps_quality_source_t;

/** Set of names of versions or workers. The names are not owned. */
typedef struct {
    const char *const *names;
    size_t count;
} pps_name_set_t;

/** Returns 1 if the set contains the name, otherwise 0. */
int
pps_name_set_has(const pps_name_set_t *set, const char *name);

#define PPS_CHOICE_VERSION_VERSION 1

/** Default safety margin below the mean quality, in standard deviations. */
#define PPS_CHOICE_MARGIN_DEVIATIONS 1.0

/** Input of pps_choice_select_version(). */
typedef struct {
    unsigned int version;
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    const char *model;
    const char *kind;
    const char *pinned;   /**< version of the session, or NULL */
    pps_name_set_t held;  /**< versions that failed the health test */
    pps_name_set_t tried; /**< versions tried for this request */
    const pps_quality_source_t *quality; /**< NULL: declared quality only */
    double margin_deviations; /**< safety margin below the mean quality */
    double price;  /**< cost per unit of rating; 0: each answer has to meet
                        the target on its own */
    int escalated; /**< 1 if an earlier answer was judged too low */
    pps_rng_t *rng;
} pps_choice_version_input_t;

#define PPS_CHOICE_VERSION_INPUT_INIT                                         \
    {                                                                         \
        .version = PPS_CHOICE_VERSION_VERSION,                                \
        .margin_deviations = PPS_CHOICE_MARGIN_DEVIATIONS                     \
    }

/** Result of pps_choice_select_version(). */
typedef struct {
    const pps_version_t *version; /**< owned by the catalog */
    pps_quality_t quality;
    int meets_target; /**< 0: highest quality available, below the target */
    const pps_version_t *escalate_to; /**< NULL: no escalation */
    double escalate_below;            /**< judgement under which to escalate */
} pps_choice_version_t;

/**
 * Selects a version that is allowed, active, not held and within its
 * exposure: the cheapest one that meets the target, expected escalations
 * included, or the one with the highest quality if none meets it. With a
 * price of quality, the target applies to the mean of the workspace's
 * requests, and the version or cascade with the largest price * quality - cost
 * is selected.
 *
 * A pinned session gets its own version or an error, never another version.
 *
 * @return 0; PPS_ENOTFOUND: no such model or version;
 *         PPS_EINVALID: the workspace may use none of its versions;
 *         PPS_ELIMIT: the model has more than PPS_CANDIDATES_MAX versions.
 *         If none is eligible, the first of these that applies to a version:
 *         PPS_ELIMIT: outside its exposure; PPS_EREFUSED: held; PPS_ECLOSED:
 *         tried; PPS_EEXPIRED: withdrawn, or retiring and the session is new
 */
int
pps_choice_select_version(pps_choice_version_t *out,
                          const pps_choice_version_input_t *input);

/**
 * Selects as pps_choice_select_version() does, among the given versions of the
 * model. Eligible versions after the first PPS_CANDIDATES_MAX are ignored.
 */
int
pps_choice_select_version_among(pps_choice_version_t *out,
                                const pps_choice_version_input_t *input,
                                const pps_version_t *const *versions,
                                size_t count);

#define PPS_CHOICE_WORKER_VERSION 1

/** Input of pps_choice_select_worker(). */
typedef struct {
    unsigned int version;
    const pps_worker_view_t *workers;
    const char *upstream;
    const char *model_version;  /**< NULL for a service without model */
    const char *failure_domain; /**< of this host; "" for none */
    uint64_t affinity;          /**< hash of prompt prefix or session, or 0 */
    pps_name_set_t tried;       /**< worker ids tried for this request */
    size_t choices;             /**< number of random workers compared */
    int64_t report_decay_us;    /**< time constant with which the reported load
                                   converges to the pool's mean */
    double affinity_tolerance;  /**< relative load by which the affine worker
                                   may exceed the least loaded */
    double domain_penalty; /**< relative load added to workers of other failure
                              domains */
    double slow_factor; /**< multiple of the pool's median time to first token
                           above which a worker is slow */
    int64_t now_us;
    pps_rng_t *rng;
} pps_choice_worker_input_t;

#define PPS_CHOICE_WORKER_INPUT_INIT                                          \
    {                                                                         \
        .version = PPS_CHOICE_WORKER_VERSION, .failure_domain = "",           \
        .choices = 8, .report_decay_us = 30000, .affinity_tolerance = 0.125,  \
        .domain_penalty = 0.05, .slow_factor = 4.0                            \
    }

/** Result of pps_choice_select_worker(). */
typedef struct {
    const pps_worker_t *worker; /**< owned by the view */
    int64_t retry_after_us;     /**< on PPS_EUNAVAILABLE: time until the first
                                   back-off ends; 0: there is none */
} pps_choice_worker_t;

/**
 * Selects the least loaded of `choices` random workers that may serve, with a
 * bounded preference for prefix affinity and for the host's failure domain.
 * Slow workers are used only if all eligible workers are slow.
 *
 * @return 0; PPS_ENOTFOUND: the upstream has no worker;
 *         PPS_ECLOSED: all workers have been tried;
 *         PPS_EUNAVAILABLE: the workers not yet tried are leaving, in a
 *         back-off or without the version
 */
int
pps_choice_select_worker(pps_choice_worker_t *out,
                         const pps_choice_worker_input_t *input);

#endif
