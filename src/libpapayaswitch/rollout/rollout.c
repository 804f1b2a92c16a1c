/** @file rollout.c @brief Steps and evaluation of a roll-out. */
#include "rollout.h"

#include "clock.h"

#include <math.h>

/** Delay before the first move: a fraction of the duration and a margin. */
#define START_DELAY_FRACTION 0.5
#define START_DELAY_MARGIN_US (200 * PPS_US_PER_MS)
/** Time between the earliest completion and the operator's deadline. */
#define END_MARGIN_US (1500 * PPS_US_PER_MS)
/** Shares of the first two moves, per thousand, and the fractions of the
 * moving time before which they are not raised. */
#define FIRST_SHARE 250
#define SECOND_SHARE 600
#define FIRST_UNTIL 0.4
#define SECOND_UNTIL 0.65
/** Time from planning a move, which is announced to all hosts, to the move. */
#define MOVE_NOTICE_US (1000 * PPS_US_PER_MS)
/** Remote starts earlier by at most this are ignored as timing errors of the
 * messages. Otherwise repeated merges would move the start ever earlier. */
#define START_TOLERANCE_US (300 * PPS_US_PER_MS)
/** Answers of the target required before each move after the first. */
#define TARGET_ANSWERS_MIN 20
/** Minimum failures of a bad target, and the minimum excess of its failure
 * rate over the baseline's, absolute and in standard errors. */
#define FAILURES_MIN 4
#define FAILURE_EXCESS_MIN 0.12
#define STANDARD_ERRORS_MIN 2.6
/** Minimum timed answers of both target and baseline. The target is too slow
 * if its mean time to the first byte exceeds the baseline's by both limits. */
#define TIMED_ANSWERS_MIN 6
#define SLOW_FACTOR 3.0
#define SLOW_EXCESS_US (200.0 * PPS_US_PER_MS)
/** Fraction of the exposure bound above which no second move is planned. */
#define EXPOSURE_FRACTION 0.8

static void
add_count(pps_rollout_count_t *sum, const pps_rollout_count_t *count)
{
    sum->answers += count->answers;
    sum->failures += count->failures;
    sum->timed += count->timed;
    sum->first_byte_us += count->first_byte_us;
}

void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *tally)
{
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        add_count(&sum->baseline[i], &tally->baseline[i]);
        add_count(&sum->target[i], &tally->target[i]);
    }
    sum->requests += tally->requests;
    sum->exposed += tally->exposed;
}

static int
fails_more_often(const pps_rollout_count_t *target,
                 const pps_rollout_count_t *baseline)
{
    double n = target->answers;
    double m = baseline->answers;
    double target_rate = n > 0 ? target->failures / n : 0;
    double base_rate = m > 0 ? baseline->failures / m : 0;
    double pooled;
    double error;

    if (target->failures < FAILURES_MIN ||
        target_rate < base_rate + FAILURE_EXCESS_MIN) {
        return 0;
    }
    if (m < 1) {
        return 1;
    }
    pooled = (target->failures + baseline->failures) / (n + m);
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

int
pps_rollout_is_bad(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = {0};
    pps_rollout_count_t baseline = {0};

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        if (fails_more_often(&tally->target[i], &tally->baseline[i]) ||
            is_slower(&tally->target[i], &tally->baseline[i])) {
            return 1;
        }
        add_count(&target, &tally->target[i]);
        add_count(&baseline, &tally->baseline[i]);
    }
    return fails_more_often(&target, &baseline);
}

static uint32_t
target_answers(const pps_rollout_tally_t *tally)
{
    uint32_t answers = 0;

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        answers += tally->target[i].answers;
    }
    return answers;
}

static int
is_exposure_near_bound(const pps_rollout_tally_t *tally,
                       const pps_rollout_bounds_t *bounds)
{
    double allowed =
        tally->requests * bounds->exposure_share + bounds->exposure_more;

    return tally->exposed > allowed * EXPOSURE_FRACTION;
}

static int64_t
start_delay_us(const pps_rollout_t *rollout)
{
    return (int64_t)((double)rollout->duration_us * START_DELAY_FRACTION) +
           START_DELAY_MARGIN_US;
}

/* Returns the time from the first move to the earliest completion. */
static int64_t
moving_us(const pps_rollout_t *rollout)
{
    int64_t duration_us =
        rollout->duration_us - start_delay_us(rollout) - END_MARGIN_US;

    return duration_us < PPS_US_PER_S ? PPS_US_PER_S : duration_us;
}

void
pps_rollout_begin(pps_rollout_t *rollout, int64_t now_us)
{
    rollout->state = PPS_ROLLOUT_ACTIVE;
    rollout->started_us = now_us;
    rollout->share = 0;
    rollout->held = 0;
    rollout->next_share = FIRST_SHARE;
    rollout->next_age_us = start_delay_us(rollout);
}

static void
plan_move(pps_rollout_t *rollout, unsigned int share, int64_t age_us)
{
    if (share > rollout->next_share && rollout->share == rollout->next_share) {
        rollout->next_share = share;
        rollout->next_age_us = age_us + MOVE_NOTICE_US;
    }
}

static void
plan_next_move(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
               const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    double progress =
        (double)(age_us + MOVE_NOTICE_US - start_delay_us(rollout)) /
        (double)moving_us(rollout);

    if (target_answers(tally) < TARGET_ANSWERS_MIN) {
        return;
    }
    if (progress >= SECOND_UNTIL) {
        plan_move(rollout, PPS_ROLLOUT_SHARE_MAX, age_us);
    }
    else if (progress >= FIRST_UNTIL &&
             !is_exposure_near_bound(tally, bounds)) {
        plan_move(rollout, SECOND_SHARE, age_us);
    }
}

void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *remote)
{
    if (remote->started_us < rollout->started_us - START_TOLERANCE_US) {
        rollout->started_us = remote->started_us;
    }
    if (remote->share > rollout->share) {
        rollout->share = remote->share;
    }
    if (remote->next_share > rollout->next_share ||
        (remote->next_share == rollout->next_share &&
         remote->next_age_us < rollout->next_age_us)) {
        rollout->next_share = remote->next_share;
        rollout->next_age_us = remote->next_age_us;
    }
}

pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_bounds_t *bounds, int64_t now_us)
{
    int64_t age_us = now_us - rollout->started_us;

    if (rollout->state != PPS_ROLLOUT_ACTIVE) {
        return PPS_ROLLOUT_CONTINUE;
    }
    if (rollout->held || pps_rollout_is_bad(tally)) {
        rollout->held = 1;
        return PPS_ROLLOUT_ROLL_BACK;
    }
    if (age_us >= rollout->next_age_us) {
        rollout->share = rollout->next_share;
    }
    plan_next_move(rollout, tally, bounds, age_us);
    return rollout->share == PPS_ROLLOUT_SHARE_MAX &&
                   age_us >= start_delay_us(rollout) + moving_us(rollout)
               ? PPS_ROLLOUT_COMPLETE
               : PPS_ROLLOUT_CONTINUE;
}

static unsigned int
share_at(const pps_rollout_t *rollout, int64_t now_us)
{
    return now_us - rollout->started_us >= rollout->next_age_us
               ? rollout->next_share
               : rollout->share;
}

int
pps_rollout_has_moved(const pps_rollout_t *rollout, uint64_t session_digest,
                      int64_t now_us)
{
    switch (rollout->state) {
    case PPS_ROLLOUT_COMPLETED:
        return 1;
    case PPS_ROLLOUT_ACTIVE:
        return !rollout->held && session_digest / 7 % PPS_ROLLOUT_SHARE_MAX <
                                     share_at(rollout, now_us);
    case PPS_ROLLOUT_NONE:
    case PPS_ROLLOUT_ROLLED_BACK:
        break;
    }
    return 0;
}
