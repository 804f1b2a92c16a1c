/** @file verdict.c @brief Evaluates the results of a version. */
#include "verdict.h"

#include "clock.h"

#include <math.h>

/** Minimum bad answers of a bad target, and the minimum excess of its rate of
 * bad answers over the baseline's, absolute and in standard errors. */
#define FAILURES_MIN 4
#define FAILURE_EXCESS_MIN 0.12
#define STANDARD_ERRORS_MIN 2.6
/** Minimum timed answers of both target and baseline. The target is too slow
 * if its mean time to the first byte exceeds the baseline's by both limits. */
#define TIMED_ANSWERS_MIN 6
#define SLOW_FACTOR 3.0
#define SLOW_EXCESS_US (200.0 * PPS_US_PER_MS)
/** Answers of loaded workers from which the baseline's rate at them is used
 * rather than its rate at all workers. */
#define LOADED_ANSWERS_MIN 20
/** Rate of bad answers that is assumed of a baseline without answers, and the
 * weight of that assumption in answers. */
#define PRIOR_RATE 0.05
#define PRIOR_ANSWERS 10.0
/** Bounds of the rate that a target is tested against. */
#define RATE_MIN 0.01
#define RATE_MAX 0.6
/** Share of the answers from which a kind of request counts as usual. */
#define USUAL_KIND_SHARE 0.05

/** A sequential test of "as good as the baseline" against "bad": how much more
 * often a bad target fails, and the chance to take a bad one for sound. */
typedef struct {
    double excess;
    double error;
} sound_test_t;

static const sound_test_t test_failed = {0.2, 0.02};
static const sound_test_t test_slow = {0.12, 0.005};
static const sound_test_t test_loaded = {0.3, 0.005};
static const sound_test_t test_kind = {0.35, 0.1};

/* Returns how many of the counted answers have a property. */
typedef double (*count_fn)(const pps_rollout_count_t *count);

static void
mark(pps_rollout_count_t *count, pps_rollout_result_t result)
{
    count->failures += result == PPS_ROLLOUT_FAILED;
    count->slow += result == PPS_ROLLOUT_SLOW;
}

static pps_rollout_count_t *
kind_count(pps_rollout_tally_t *tally, const pps_rollout_sample_t *sample)
{
    return sample->on_target ? &tally->target[sample->kind]
                             : &tally->baseline[sample->kind];
}

static pps_rollout_count_t *
loaded_count(pps_rollout_tally_t *tally, const pps_rollout_sample_t *sample)
{
    return sample->on_target ? &tally->loaded_target : &tally->loaded_baseline;
}

void
pps_rollout_tally_count(pps_rollout_tally_t *tally,
                        const pps_rollout_sample_t *sample,
                        pps_rollout_result_t result)
{
    kind_count(tally, sample)->answers++;
    if (sample->is_loaded) {
        loaded_count(tally, sample)->answers++;
    }
    pps_rollout_tally_correct(tally, sample, result);
}

void
pps_rollout_tally_correct(pps_rollout_tally_t *tally,
                          const pps_rollout_sample_t *sample,
                          pps_rollout_result_t result)
{
    mark(kind_count(tally, sample), result);
    if (sample->is_loaded) {
        mark(loaded_count(tally, sample), result);
    }
}

void
pps_rollout_tally_time(pps_rollout_tally_t *tally,
                       const pps_rollout_sample_t *sample,
                       int64_t first_byte_us)
{
    pps_rollout_count_t *count = kind_count(tally, sample);

    count->timed++;
    count->first_byte_us += (uint64_t)first_byte_us;
}

static void
add_count(pps_rollout_count_t *sum, const pps_rollout_count_t *count)
{
    sum->answers += count->answers;
    sum->failures += count->failures;
    sum->timed += count->timed;
    sum->first_byte_us += count->first_byte_us;
    sum->slow += count->slow;
}

void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *tally)
{
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        add_count(&sum->baseline[i], &tally->baseline[i]);
        add_count(&sum->target[i], &tally->target[i]);
    }
    add_count(&sum->loaded_baseline, &tally->loaded_baseline);
    add_count(&sum->loaded_target, &tally->loaded_target);
    sum->requests += tally->requests;
    sum->exposed += tally->exposed;
}

pps_rollout_count_t
pps_rollout_sum_kinds(const pps_rollout_count_t *counts)
{
    pps_rollout_count_t sum = {0};

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        add_count(&sum, &counts[i]);
    }
    return sum;
}

static double
count_failed(const pps_rollout_count_t *count)
{
    return count->failures < count->answers ? count->failures : count->answers;
}

static double
count_slow(const pps_rollout_count_t *count)
{
    return count->slow < count->answers ? count->slow : count->answers;
}

static double
count_bad(const pps_rollout_count_t *count)
{
    double bad = (double)count->failures + count->slow;

    return bad < count->answers ? bad : count->answers;
}

static int
is_more_often(count_fn count_marked, const pps_rollout_count_t *target,
              const pps_rollout_count_t *baseline)
{
    double n = target->answers;
    double m = baseline->answers;
    double target_bad = count_marked(target);
    double base_bad = count_marked(baseline);
    double target_rate = n > 0 ? target_bad / n : 0;
    double base_rate = m > 0 ? base_bad / m : 0;
    double pooled;
    double error;

    if (target_bad < FAILURES_MIN ||
        target_rate < base_rate + FAILURE_EXCESS_MIN) {
        return 0;
    }
    if (m < 1) {
        return 1;
    }
    pooled = (target_bad + base_bad) / (n + m);
    error = sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
    return target_rate - base_rate > STANDARD_ERRORS_MIN * error;
}

static int
is_slower(const pps_rollout_count_t *target,
          const pps_rollout_count_t *baseline)
{
    double mean;
    double base_mean;

    if (target->timed < TIMED_ANSWERS_MIN ||
        baseline->timed < TIMED_ANSWERS_MIN) {
        return 0;
    }
    mean = (double)target->first_byte_us / target->timed;
    base_mean = (double)baseline->first_byte_us / baseline->timed;
    return mean > base_mean * SLOW_FACTOR && mean > base_mean + SLOW_EXCESS_US;
}

/* Returns the results of the baseline that loaded workers of the target are
 * compared with. */
static pps_rollout_count_t
loaded_reference(const pps_rollout_tally_t *tally)
{
    return tally->loaded_baseline.answers >= LOADED_ANSWERS_MIN
               ? tally->loaded_baseline
               : pps_rollout_sum_kinds(tally->baseline);
}

int
pps_rollout_is_bad(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);
    pps_rollout_count_t loaded = loaded_reference(tally);

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        if (is_more_often(count_bad, &tally->target[i], &tally->baseline[i]) ||
            is_slower(&tally->target[i], &tally->baseline[i])) {
            return 1;
        }
    }
    return is_more_often(count_bad, &target, &baseline) ||
           is_more_often(count_failed, &tally->loaded_target, &loaded);
}

static double
usual_rate(count_fn count_marked, const pps_rollout_count_t *baseline)
{
    double rate = (count_marked(baseline) + PRIOR_RATE * PRIOR_ANSWERS) /
                  (baseline->answers + PRIOR_ANSWERS);

    if (rate < RATE_MIN) {
        return RATE_MIN;
    }
    return rate < RATE_MAX ? rate : RATE_MAX;
}

/* Sums the logarithm of how much likelier the results are of a bad target than
 * of one like the baseline, and compares it with the chance of an error. */
static int
passes(const sound_test_t *test, count_fn count_marked,
       const pps_rollout_count_t *target, const pps_rollout_count_t *baseline)
{
    double usual = usual_rate(count_marked, baseline);
    double bad = usual + test->excess;
    double bad_count = count_marked(target);
    double good_count = target->answers - bad_count;
    double evidence = bad_count * log(bad / usual) +
                      good_count * log((1 - bad) / (1 - usual));

    return evidence <= log(test->error);
}

int
pps_rollout_is_sound(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);
    pps_rollout_count_t loaded = loaded_reference(tally);

    if (pps_rollout_is_bad(tally) ||
        !passes(&test_failed, count_failed, &target, &baseline) ||
        !passes(&test_slow, count_slow, &target, &baseline) ||
        !passes(&test_loaded, count_failed, &tally->loaded_target, &loaded)) {
        return 0;
    }
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        const pps_rollout_count_t *kind = &tally->baseline[i];

        if (kind->answers > baseline.answers * USUAL_KIND_SHARE &&
            !passes(&test_kind, count_bad, &tally->target[i], kind)) {
            return 0;
        }
    }
    return 1;
}
