/**
 * @file choice.h
 * @brief Which version and which worker serve a request.
 *
 * Pure: state, time and random numbers are arguments; nothing is kept.
 */
#ifndef PAPAYASWITCH_CHOICE_H
#define PAPAYASWITCH_CHOICE_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/quality_price.h"
#include "papayaswitch/worker_view.h"
#include "rng.h"

/** Versions of one model that a choice looks at. */
#define PPS_CANDIDATES_MAX 64

/** Source of quality estimates. Implementations embed this first. */
typedef struct pps_quality_source {
    /** Estimates the rating of a version for a kind of request. */
    void (*estimate)(const struct pps_quality_source *self, pps_quality_t *out,
                     const char *workspace, const char *kind,
                     const pps_version_t *version);
} pps_quality_source_t;

/** Names, such as those of versions held or tried. */
typedef struct {
    const char *const *names;
    size_t count;
} pps_name_set_t;

/** Whether a set has the name. */
int
pps_name_set_has(const pps_name_set_t *set, const char *name);

#define PPS_CHOICE_VERSION_VERSION 1

/** Standard deviations below the mean that must still meet the target. */
#define PPS_CHOICE_MARGIN_DEVIATIONS 1.0

/** What a choice of version is made from. */
typedef struct {
    unsigned int version;
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    const char *model;
    const char *kind;
    const char *pinned;   /**< version of the session, or NULL */
    pps_name_set_t held;  /**< failed the health test */
    pps_name_set_t tried; /**< by this request already */
    const pps_quality_source_t *quality; /**< NULL: declared quality only */
    double caution; /**< see PPS_CHOICE_MARGIN_DEVIATIONS */
    double price;   /**< of quality for this request; 0: each answer by itself
                         has to meet the target */
    int escalated;  /**< an earlier answer was judged too low */
    pps_rng_t *rng;
} pps_choice_version_input_t;

#define PPS_CHOICE_VERSION_INPUT_INIT                                         \
    {                                                                         \
        .version = PPS_CHOICE_VERSION_VERSION,                                \
        .caution = PPS_CHOICE_MARGIN_DEVIATIONS                               \
    }

/** The version chosen. */
typedef struct {
    const pps_version_t *version; /**< owned by the catalog */
    pps_quality_t quality;
    int meets_target; /**< 0: the best there is, yet below the target */
    const pps_version_t *escalate_to; /**< NULL: the answer stands */
    double escalate_below; /**< escalate when the judgement is lower */
} pps_choice_version_t;

/**
 * Chooses a version: allowed, active, not held, inside its exposure, then
 * the cheapest that meets the target, escalation included, else the best.
 * Given a price of quality, the target is met over the workspace's requests:
 * the version or cascade with the largest price * quality - cost.
 *
 * A pinned session gets its own version or an error, never another one.
 *
 * @return 0; PPS_ENOTFOUND: no such model or version;
 *         PPS_EINVALID: the workspace may use none of its versions;
 *         PPS_EEXPIRED: withdrawn, or retiring for a new session;
 *         PPS_EREFUSED: all that remain are held;
 *         PPS_ELIMIT: all that remain are at their exposure;
 *         PPS_ECLOSED: all that remain have been tried
 */
int
pps_choice_select_version(pps_choice_version_t *out,
                          const pps_choice_version_input_t *input);

/** As pps_choice_select_version(), among the given versions of the model. */
int
pps_choice_select_version_among(pps_choice_version_t *out,
                                const pps_choice_version_input_t *input,
                                const pps_version_t *const *versions,
                                size_t count);

#define PPS_CHOICE_WORKER_VERSION 1

/** What a choice of worker is made from. */
typedef struct {
    unsigned int version;
    const pps_worker_view_t *workers;
    const char *upstream;
    const char *model_version;  /**< NULL for a plain service */
    const char *failure_domain; /**< of this host; "" for none */
    uint64_t affinity;          /**< hash of prompt prefix or session, or 0 */
    pps_name_set_t tried;       /**< ids of workers */
    size_t choices;             /**< workers compared */
    int64_t report_decay_us; /**< a report this old tells little of its worker
                            beyond the pool's mean */
    double affinity_tolerance; /**< load over the better choice it may cost */
    double domain_penalty;     /**< likewise for the own failure domain */
    double slow_factor;        /**< of the pool's median: put aside */
    int64_t now_us;
    pps_rng_t *rng;
} pps_choice_worker_input_t;

#define PPS_CHOICE_WORKER_INPUT_INIT                                          \
    {                                                                         \
        .version = PPS_CHOICE_WORKER_VERSION, .failure_domain = "",           \
        .choices = 8, .report_decay_us = 30000, .affinity_tolerance = 0.125,  \
        .domain_penalty = 0.05, .slow_factor = 4.0                            \
    }

/** The worker chosen. */
typedef struct {
    const pps_worker_t *worker; /**< owned by the view */
    int64_t retry_after_us;     /**< on PPS_EUNAVAILABLE, when one may open */
} pps_choice_worker_t;

/**
 * Chooses a worker: the less loaded of two random ones among those that may
 * serve, with a bounded preference for prefix affinity and for the own
 * failure domain. Slow workers are used only when there is no other.
 *
 * @return 0; PPS_ENOTFOUND: the upstream has no worker at all;
 *         PPS_ECLOSED: all that could have been tried;
 *         PPS_EUNAVAILABLE: all leave or are backing off
 */
int
pps_choice_select_worker(pps_choice_worker_t *out,
                         const pps_choice_worker_input_t *input);

#endif
