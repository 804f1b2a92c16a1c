/**
 * @file quality_price.h
 * @brief Cheapest mix of versions and cascades that meets a quality target.
 *
 * A workspace's target applies to the mean quality of its requests. The
 * cheapest mix that meets it has one price of quality for all requests: each
 * request takes the option with the largest price * quality - cost, and the
 * price is the lowest at which the expected quality reaches the target. The
 * functions do no I/O, read no clock and keep no state.
 */
#ifndef PAPAYASWITCH_QUALITY_PRICE_H
#define PAPAYASWITCH_QUALITY_PRICE_H

#include "papayaswitch/catalog.h"

#include <stddef.h>

/** Estimated rating of a version for a workspace and a kind of request. */
typedef struct {
    double mean;           /**< expected rating in [0, 1] */
    double deviation;      /**< standard deviation of `mean` */
    double escalation;     /**< probability that an answer is judged too low */
    double escalated_mean; /**< expected rating if run as the second version */
    double judge_mean;     /**< mean judgement of the version's answers */
    double judge_slope;    /**< rating per unit of judgement; 0: no judge */
    double judge_deviation; /**< standard deviation of the judgements */
} pps_quality_t;

/** An eligible version with its estimate. */
typedef struct {
    const pps_version_t *version;
    pps_quality_t quality;
} pps_candidate_t;

/** Safety margin of a workspace's expected quality, in standard deviations. */
#define PPS_PRICE_MARGIN_DEVIATIONS 1.0

/** Number of requests over which a shortfall is compensated. */
#define PPS_PRICE_HORIZON 1000.0

/** Value of `second` for an option with a single version. */
#define PPS_OPTION_NONE ((size_t)-1)

/** A single version, or a cascade of two. */
typedef struct {
    size_t first;          /**< index of a candidate */
    size_t second;         /**< index of a candidate, or PPS_OPTION_NONE */
    double escalate_below; /**< judgement under which to escalate */
    double quality;        /**< expected rating */
    double deviation;      /**< standard deviation of `quality` */
    double cost;           /**< expected cost, with the second run included */
} pps_option_t;

/** Selects the option with the largest price * quality - cost; `count` > 0. */
void
pps_option_select_best(pps_option_t *out, const pps_candidate_t *candidates,
                       size_t count, double price);

/** One kind of request of a workspace, with the versions that may serve it. */
typedef struct {
    double weight; /**< relative number of requests */
    const pps_candidate_t *candidates;
    size_t count;
} pps_demand_t;

/**
 * Price of quality, in cost per unit of rating. The expected quality has steps
 * as the price rises. If the target lies within a step, a share of the
 * requests uses the higher price.
 */
typedef struct {
    double low;
    double high;
    double high_share; /**< share of the requests at `high`, [0, 1] */
    int reached;       /**< 0: target not reached at the highest price */
} pps_price_t;

/**
 * Finds the price of quality of a workspace.
 * @param margin_deviations standard deviations by which the expected quality
 *        over all demands has to exceed the target
 */
void
pps_price_find(pps_price_t *out, const pps_demand_t *demands, size_t count,
               double target, double margin_deviations);

/**
 * Computes the target for the next requests from the answers delivered so
 * far: a shortfall raises it, and an excess lowers it, so that the next
 * `horizon` requests compensate the difference. The result is in [0, 1].
 * @param quality_sum sum of the expected ratings of the delivered answers
 */
double
pps_target_correct(double target, double answers, double quality_sum,
                   double horizon);

/** Predicts the rating of an answer from its judgement. */
double
pps_quality_predict(const pps_quality_t *quality, double judgement);

/** Selects the price for one request; `draw` is uniform in [0, 1). */
double
pps_price_draw(const pps_price_t *price, double draw);

#endif
