/**
 * @file quality_price.h
 * @brief Cheapest mix of versions and cascades that meets a quality target.
 *
 * A workspace's target holds over its requests. The cheapest way to reach it
 * pays the same price for quality everywhere: each request takes the option
 * with the largest price * quality - cost, and the price is the lowest at
 * which the workspace's expected quality reaches the target. Pure functions.
 */
#ifndef PAPAYASWITCH_QUALITY_PRICE_H
#define PAPAYASWITCH_QUALITY_PRICE_H

#include "papayaswitch/catalog.h"

#include <stddef.h>

/** What is believed of a version's rating for a workspace and kind. */
typedef struct {
    double mean;            /**< expected rating in [0, 1] */
    double deviation;       /**< standard deviation of that mean */
    double escalation;      /**< probability that its answer is too low */
    double escalated_mean;  /**< expected rating after an escalation */
    double judge_mean;      /**< of the judgements of its answers */
    double judge_slope;     /**< rating gained a unit of judgement; 0: none */
    double judge_deviation; /**< of the judgements */
} pps_quality_t;

/** A version that may serve. */
typedef struct {
    const pps_version_t *version;
    pps_quality_t quality;
} pps_candidate_t;

/** Standard deviations that a workspace's expected quality keeps spare. */
#define PPS_PRICE_MARGIN_DEVIATIONS 1.0

/** Requests over which a shortfall is made good. */
#define PPS_PRICE_HORIZON 1000.0

/** No version behind the first one. */
#define PPS_OPTION_NONE ((size_t)-1)

/** One version, or a cascade of two. */
typedef struct {
    size_t first;          /**< index of a candidate */
    size_t second;         /**< index, or PPS_OPTION_NONE */
    double escalate_below; /**< escalate when the judgement is lower */
    double quality;        /**< expected */
    double deviation;      /**< of that expectation */
    double cost;           /**< expected, both runs counted */
} pps_option_t;

/** The option with the largest price * quality - cost. `count` > 0. */
void
pps_option_select_best(pps_option_t *out, const pps_candidate_t *candidates,
                       size_t count, double price);

/** The share of a workspace's requests that are of one kind. */
typedef struct {
    double weight;
    const pps_candidate_t *candidates;
    size_t count;
} pps_demand_t;

/**
 * The price of quality. Options change in steps, so the target lies between
 * two prices; a share of the requests pays the higher one.
 */
typedef struct {
    double low;
    double high;
    double high_share; /**< of the requests, [0, 1] */
    int reached;       /**< 0: no price reaches the target */
} pps_price_t;

/**
 * Finds the price of a workspace.
 * @param caution standard deviations by which the expected quality of the
 *        whole has to exceed the target
 */
void
pps_price_find(pps_price_t *out, const pps_demand_t *demands, size_t count,
               double target, double caution);

/**
 * The target to plan for, given what was delivered: a shortfall is made good
 * over the next `horizon` requests, an excess is spent.
 * @param quality_sum expected ratings of the answers delivered, summed
 */
double
pps_target_correct(double target, double answers, double quality_sum,
                   double horizon);

/** Expected rating of an answer, given its judgement. */
double
pps_quality_predict(const pps_quality_t *quality, double judgement);

/** The price that one request pays; `draw` is uniform in [0, 1). */
double
pps_price_draw(const pps_price_t *price, double draw);

#endif
