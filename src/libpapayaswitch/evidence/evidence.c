/** @file evidence.c @brief Hierarchical normal model of quality. */
#include "papayaswitch/evidence.h"

#include "papayaswitch/errors.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/** Levels of the hierarchy: version, kind, workspace. */
#define LEVELS 3

/** Weight of the prior variance of a rating, in ratings. */
#define VARIANCE_PRIOR_RATINGS 20.0

/** Weight of the prior in the judge's regression, in judged ratings. */
#define JUDGE_PRIOR_RATINGS 30.0

/** Tally keys of the levels; escalated answers have separate keys. */
typedef struct {
    char keys[LEVELS][PPS_TALLY_KEY_MAX];
} level_keys_t;

typedef struct {
    double mean;
    double variance;
} normal_t;

static int
keys_make(level_keys_t *out, const char *workspace, const char *kind,
          const char *version, int escalated)
{
    const char *stage = escalated ? "second" : "first";
    int size[LEVELS];

    size[0] = snprintf(out->keys[0], PPS_TALLY_KEY_MAX, "quality\t%s\t%s",
                       version, stage);
    size[1] = snprintf(out->keys[1], PPS_TALLY_KEY_MAX, "quality\t%s\t%s\t%s",
                       version, stage, kind);
    size[2] =
        snprintf(out->keys[2], PPS_TALLY_KEY_MAX, "quality\t%s\t%s\t%s\t%s",
                 version, stage, kind, workspace);
    for (int i = 0; i < LEVELS; i++) {
        if (size[i] < 0 || size[i] >= PPS_TALLY_KEY_MAX) {
            return pps_error_set(PPS_ELIMIT, "evidence: key too long");
        }
    }
    return PPS_OK;
}

static uint64_t
to_units(double value)
{
    return (uint64_t)llround(value / PPS_TALLY_UNIT);
}

int
pps_evidence_count_rating(pps_tally_t *tally, const pps_rating_t *rating)
{
    pps_tally_counts_t delta = {.ratings = 1};
    level_keys_t keys;
    int error;

    if (!(rating->rating >= 0 && rating->rating <= 1) ||
        !(rating->judgement <= 1)) {
        return pps_error_set(PPS_EINVALID,
                             "evidence: rating or judgement outside [0, 1]");
    }
    delta.rating_sum = to_units(rating->rating);
    delta.rating_squares = to_units(rating->rating * rating->rating);
    if (rating->judgement >= 0) {
        delta.judged = 1;
        delta.judge_sum = to_units(rating->judgement);
        delta.judge_squares = to_units(rating->judgement * rating->judgement);
        delta.judge_cross = to_units(rating->judgement * rating->rating);
        delta.judged_ratings = delta.rating_sum;
        delta.judged_squares = delta.rating_squares;
    }
    error = keys_make(&keys, rating->workspace, rating->kind, rating->version,
                      rating->escalated);
    for (int i = 0; i < LEVELS && error == PPS_OK; i++) {
        error = pps_tally_add(tally, keys.keys[i], &delta);
    }
    return error;
}

int
pps_evidence_count_judgement(pps_tally_t *tally, const pps_rating_t *answer)
{
    pps_tally_counts_t delta = {.answers = 1};
    level_keys_t keys;
    int error;

    if (!(answer->judgement >= 0 && answer->judgement <= 1)) {
        return pps_error_set(PPS_EINVALID,
                             "evidence: judgement outside [0, 1]");
    }
    delta.answer_judge_sum = to_units(answer->judgement);
    error = keys_make(&keys, answer->workspace, answer->kind, answer->version,
                      answer->escalated);
    if (error < 0) {
        return error;
    }
    return pps_tally_add(tally, keys.keys[LEVELS - 1], &delta);
}

/** Returns the variance of one rating, pooled over all ratings of a version.
 */
static double
rating_variance(const pps_tally_counts_t *all, double prior_deviation)
{
    double n = (double)all->ratings;
    double prior = prior_deviation * prior_deviation;
    double mean;
    double squares;

    if (all->ratings == 0) {
        return prior;
    }
    mean = (double)all->rating_sum * PPS_TALLY_UNIT / n;
    squares = (double)all->rating_squares * PPS_TALLY_UNIT - n * mean * mean;
    return (fmax(squares, 0.0) + VARIANCE_PRIOR_RATINGS * prior) /
           (n + VARIANCE_PRIOR_RATINGS);
}

/** Updates a prior by the ratings in `level` that are not in `below`, the next
 * more specific level. Means of `below` deviate by `spread` from `level`'s. */
static normal_t
update_by_ratings(normal_t prior, const pps_tally_counts_t *level,
                  const pps_tally_counts_t *below, double variance,
                  double spread)
{
    /* Signed, because the counters of the lower level may arrive first. */
    double n = (double)(int64_t)(level->ratings - below->ratings);
    double sum = (double)(int64_t)(level->rating_sum - below->rating_sum);
    double data_variance;
    double gain;

    if (n <= 0) {
        return prior;
    }
    data_variance = variance / n + spread * spread;
    gain = prior.variance / (prior.variance + data_variance);
    return (normal_t){prior.mean +
                          gain * (sum * PPS_TALLY_UNIT / n - prior.mean),
                      prior.variance * (1.0 - gain)};
}

static normal_t
widen(normal_t normal, double deviation)
{
    normal.variance += deviation * deviation;
    return normal;
}

/** Moments of the answers that were both judged and rated. */
typedef struct {
    double n;
    double judge_mean;
    double judge_variance;
    double covariance;
    double gap; /**< mean of rating minus judgement */
    double gap_variance;
} judge_moments_t;

static int
compute_judge_moments(judge_moments_t *out, const pps_tally_counts_t *counts)
{
    double n = (double)counts->judged;
    double rating_mean;
    double rating_squares;

    if (counts->judged < 2) {
        return 0;
    }
    rating_mean = (double)counts->judged_ratings * PPS_TALLY_UNIT / n;
    out->n = n;
    out->judge_mean = (double)counts->judge_sum * PPS_TALLY_UNIT / n;
    out->judge_variance = (double)counts->judge_squares * PPS_TALLY_UNIT / n -
                          out->judge_mean * out->judge_mean;
    out->covariance = (double)counts->judge_cross * PPS_TALLY_UNIT / n -
                      out->judge_mean * rating_mean;
    out->gap = rating_mean - out->judge_mean;
    rating_squares = (double)counts->judged_squares * PPS_TALLY_UNIT / n;
    out->gap_variance = fmax(rating_squares - rating_mean * rating_mean +
                                 out->judge_variance - 2.0 * out->covariance,
                             0.0);
    return out->judge_variance > 0;
}

/**
 * Updates a prior by the judgements in a workspace. Their mean, corrected by
 * the gap over answers both judged and rated, also estimates the mean rating.
 */
static normal_t
update_by_judgements(normal_t prior, const pps_tally_counts_t *kind,
                     const pps_tally_counts_t *workspace, double bias)
{
    double n = (double)workspace->answers;
    judge_moments_t moments;
    double observed;
    double variance;
    double gain;

    if (workspace->answers == 0 || !compute_judge_moments(&moments, kind)) {
        return prior;
    }
    variance = moments.judge_variance / n + moments.gap_variance / moments.n +
               bias * bias;
    observed =
        (double)workspace->answer_judge_sum * PPS_TALLY_UNIT / n + moments.gap;
    gain = prior.variance / (prior.variance + variance);
    return (normal_t){prior.mean + gain * (observed - prior.mean),
                      prior.variance * (1.0 - gain)};
}

static normal_t
compute_posterior(const pps_evidence_t *evidence, normal_t posterior,
                  const level_keys_t *keys, pps_tally_counts_t counts[LEVELS])
{
    static const pps_tally_counts_t none;
    const pps_evidence_prior_t *prior = &evidence->prior;
    double variance;

    for (int i = 0; i < LEVELS; i++) {
        pps_tally_total(evidence->tally, &counts[i], keys->keys[i]);
    }
    variance = rating_variance(&counts[0], prior->rating);
    posterior = update_by_ratings(posterior, &counts[0], &counts[1], variance,
                                  prior->kind);
    posterior = update_by_ratings(widen(posterior, prior->kind), &counts[1],
                                  &counts[2], variance, prior->workspace);
    posterior = update_by_ratings(widen(posterior, prior->workspace),
                                  &counts[2], &none, variance, 0.0);
    return update_by_judgements(posterior, &counts[1], &counts[2],
                                prior->judge);
}

/** Fits a regression of ratings on judgements for one kind of request. */
static void
fit_judge(pps_quality_t *out, const pps_tally_counts_t counts[LEVELS])
{
    const pps_tally_counts_t *workspace = &counts[LEVELS - 1];
    double n = (double)workspace->answers;
    judge_moments_t moments;

    if (!compute_judge_moments(&moments, &counts[1]) ||
        moments.covariance <= 0) {
        return;
    }
    out->judge_mean = ((double)workspace->answer_judge_sum * PPS_TALLY_UNIT +
                       JUDGE_PRIOR_RATINGS * moments.judge_mean) /
                      (n + JUDGE_PRIOR_RATINGS);
    out->judge_slope = moments.n / (moments.n + JUDGE_PRIOR_RATINGS) *
                       moments.covariance / moments.judge_variance;
    out->judge_deviation = sqrt(moments.judge_variance);
}

static void
estimate(const pps_quality_source_t *self, pps_quality_t *out,
         const char *workspace, const char *kind, const pps_version_t *version)
{
    const pps_evidence_t *evidence = (const pps_evidence_t *)self;
    double declared = evidence->prior.declared;
    normal_t posterior = {version->quality, declared * declared};
    pps_tally_counts_t counts[LEVELS];
    level_keys_t keys;

    memset(out, 0, sizeof(*out));
    if (keys_make(&keys, workspace, kind, version->name, 0) < 0) {
        out->mean = version->quality;
        out->deviation = declared;
        out->escalated_mean = version->quality;
        return;
    }
    posterior = compute_posterior(evidence, posterior, &keys, counts);
    out->mean = posterior.mean;
    out->deviation = sqrt(posterior.variance);
    fit_judge(out, counts);
    keys_make(&keys, workspace, kind, version->name, 1);
    /* Escalated requests are harder; their prior is the estimate above. */
    posterior = compute_posterior(
        evidence, widen(posterior, evidence->prior.workspace), &keys, counts);
    out->escalated_mean = posterior.mean;
}

double
pps_evidence_deviation(const pps_evidence_t *evidence, const char *version)
{
    pps_tally_counts_t counts;
    level_keys_t keys;

    if (keys_make(&keys, "", "", version, 0) < 0) {
        return evidence->prior.rating;
    }
    pps_tally_total(evidence->tally, &counts, keys.keys[0]);
    return sqrt(rating_variance(&counts, evidence->prior.rating));
}

void
pps_evidence_init(pps_evidence_t *evidence, const pps_tally_t *tally)
{
    memset(evidence, 0, sizeof(*evidence));
    evidence->source.estimate = estimate;
    evidence->tally = tally;
    evidence->prior = (pps_evidence_prior_t)PPS_EVIDENCE_PRIOR_INIT;
}
