/** @file verdict.c @brief Evaluates the results of a version. */
#include "verdict.h"

#include "clock.h"

#include <math.h>

/** Minimum failed or slow answers of a bad target, and the minimum excess of
 * their rate over the baseline's, absolute and in standard errors. */
#define FAILURES_MIN 4
#define FAILURE_EXCESS_MIN 0.12
#define STANDARD_ERRORS_MIN 3.0
/** Standard errors for slow answers: times vary more, with the load of the
 * worker and with what it has cached. */
#define SLOW_STANDARD_ERRORS_MIN 3.5
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
#define MILLI 1000.0
/** Mean score, number of scores and standard errors that show that a target is
 * too slow; and mean score of a slow target against which one is tested, with
 * the chance to take such a target for sound. */
#define HELD_SCORE 0.35
#define SLOW_SCORE 0.6
#define SCORES_MIN 8
#define SCORE_STANDARD_ERRORS_MIN 4.0
#define SLOW_SCORE_ERROR 0.005
/** Share of the answers from which a kind of request counts as usual. */
#define USUAL_KIND_SHARE 0.05

/** A sequential test of "as good as the baseline" against "bad": how much more
 * often a bad target fails, and the chance to take a bad one for sound. */
typedef struct {
    double excess;
    double error;
} sound_test_t;

static const sound_test_t test_failed = {0.25, 0.02};
static const sound_test_t test_loaded = {0.3, 0.005};
static const sound_test_t test_kind = {0.35, 0.02};

/* Answers of which some have a property: they failed, or were slow. */
typedef struct {
    double marked;
    double all;
} marks_t;

typedef marks_t (*marks_fn)(const pps_rollout_count_t *count);

static void
mark(pps_rollout_count_t *count, pps_rollout_result_t result, int is_judged)
{
    count->failures += result == PPS_ROLLOUT_FAILED;
    count->slow += result == PPS_ROLLOUT_SLOW && is_judged;
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
    kind_count(tally, sample)->judged += sample->is_light != 0;
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
    mark(kind_count(tally, sample), result, sample->is_light);
    if (sample->is_loaded) {
        mark(loaded_count(tally, sample), result, 0);
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

void
pps_rollout_tally_score(pps_rollout_tally_t *tally,
                        const pps_rollout_sample_t *sample, double score)
{
    pps_rollout_count_t *count = kind_count(tally, sample);

    if (sample->is_light) {
        count->scored++;
        count->score_milli += (int64_t)(score * MILLI);
    }
}

static void
add_count(pps_rollout_count_t *sum, const pps_rollout_count_t *count)
{
    sum->answers += count->answers;
    sum->failures += count->failures;
    sum->timed += count->timed;
    sum->first_byte_us += count->first_byte_us;
    sum->judged += count->judged;
    sum->slow += count->slow;
    sum->scored += count->scored;
    sum->score_milli += count->score_milli;
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

static uint64_t
count_progress(const pps_rollout_count_t *count)
{
    return (uint64_t)count->answers + count->failures + count->timed +
           count->slow + count->scored;
}

uint64_t
pps_rollout_tally_progress(const pps_rollout_tally_t *tally)
{
    uint64_t progress = (uint64_t)tally->requests +
                        count_progress(&tally->loaded_baseline) +
                        count_progress(&tally->loaded_target);

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        progress += count_progress(&tally->baseline[i]) +
                    count_progress(&tally->target[i]);
    }
    return progress;
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

static marks_t
failed_marks(const pps_rollout_count_t *count)
{
    return (marks_t){count->failures, count->answers};
}

static marks_t
slow_marks(const pps_rollout_count_t *count)
{
    return (marks_t){count->slow, count->judged};
}

static int
is_more_often(marks_fn marks_of, double standard_errors,
              const pps_rollout_count_t *target,
              const pps_rollout_count_t *baseline)
{
    marks_t t = marks_of(target);
    marks_t b = marks_of(baseline);
    double excess;
    double pooled;
    double error;

    if (t.marked < FAILURES_MIN || t.marked > t.all) {
        return t.marked >= FAILURES_MIN;
    }
    excess = t.marked / t.all - (b.all > 0 ? b.marked / b.all : 0);
    if (b.all < 1) {
        return excess >= FAILURE_EXCESS_MIN;
    }
    pooled = (t.marked + b.marked) / (t.all + b.all);
    error = sqrt(pooled * (1 - pooled) * (1 / t.all + 1 / b.all));
    return excess >= FAILURE_EXCESS_MIN && excess > standard_errors * error;
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

/* Returns whether the target does worse than the baseline in one group. */
static int
is_worse(const pps_rollout_count_t *target,
         const pps_rollout_count_t *baseline)
{
    return is_more_often(failed_marks, STANDARD_ERRORS_MIN, target,
                         baseline) ||
           is_more_often(slow_marks, SLOW_STANDARD_ERRORS_MIN, target,
                         baseline);
}

static int
has_slow_scores(const pps_rollout_count_t *target)
{
    double scores = target->scored;
    double sum = (double)target->score_milli / MILLI;

    return scores >= SCORES_MIN && sum > HELD_SCORE * scores &&
           sum > SCORE_STANDARD_ERRORS_MIN * sqrt(scores);
}

/* Tests the mean score of 0 against that of a slow target, as passes() does.
 */
static int
passes_by_scores(const pps_rollout_count_t *target)
{
    double sum = (double)target->score_milli / MILLI;
    double evidence =
        SLOW_SCORE * sum - target->scored * SLOW_SCORE * SLOW_SCORE / 2;

    return evidence <= log(SLOW_SCORE_ERROR);
}

int
pps_rollout_is_bad(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);
    pps_rollout_count_t loaded = loaded_reference(tally);

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        if (is_worse(&tally->target[i], &tally->baseline[i]) ||
            has_slow_scores(&tally->target[i]) ||
            is_slower(&tally->target[i], &tally->baseline[i])) {
            return 1;
        }
    }
    return is_worse(&target, &baseline) || has_slow_scores(&target) ||
           is_more_often(failed_marks, STANDARD_ERRORS_MIN,
                         &tally->loaded_target, &loaded);
}

static double
usual_rate(marks_t baseline)
{
    double rate = (baseline.marked + PRIOR_RATE * PRIOR_ANSWERS) /
                  (baseline.all + PRIOR_ANSWERS);

    if (rate < RATE_MIN) {
        return RATE_MIN;
    }
    return rate < RATE_MAX ? rate : RATE_MAX;
}

/* Sums the logarithm of how much likelier the results are of a bad target than
 * of one like the baseline, and compares it with the chance of an error. */
static int
passes(const sound_test_t *test, marks_fn marks_of,
       const pps_rollout_count_t *target, const pps_rollout_count_t *baseline)
{
    marks_t marks = marks_of(target);
    double usual = usual_rate(marks_of(baseline));
    double bad = usual + test->excess;
    double evidence =
        marks.marked * log(bad / usual) +
        (marks.all - marks.marked) * log((1 - bad) / (1 - usual));

    return evidence <= log(test->error);
}

int
pps_rollout_is_clean(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);

    if (pps_rollout_is_bad(tally) ||
        !passes(&test_failed, failed_marks, &target, &baseline) ||
        !passes_by_scores(&target)) {
        return 0;
    }
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        const pps_rollout_count_t *kind = &tally->baseline[i];

        if (kind->answers > baseline.answers * USUAL_KIND_SHARE &&
            !passes(&test_kind, failed_marks, &tally->target[i], kind)) {
            return 0;
        }
    }
    return 1;
}

int
pps_rollout_is_sound(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t loaded = loaded_reference(tally);

    return pps_rollout_is_clean(tally) &&
           passes(&test_loaded, failed_marks, &tally->loaded_target, &loaded);
}
