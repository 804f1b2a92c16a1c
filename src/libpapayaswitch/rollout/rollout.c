/** @file rollout.c @brief Steps and judgement of a roll-out. */
#include "rollout.h"

#include "clock.h"

#include <math.h>

/** Part of the time in which nothing is moved, and a little more. */
#define STILL_PART 0.5
#define STILL_MORE_US (200 * PPS_US_PER_MS)
/** The roll-out ends this much before the operator's time is over. */
#define END_MARGIN_US (1500 * PPS_US_PER_MS)
/** Shares of the sessions, and the parts of the moving time they last. */
#define FIRST_SHARE 250
#define SECOND_SHARE 600
#define FIRST_PART 0.4
#define SECOND_PART 0.65
/** From the plan of a move, which all hosts are told of, to the move. */
#define NOTICE_US (1000 * PPS_US_PER_MS)
/** A start that lies earlier by less is the way's delay: taking it over again
 * and again would move the start of all hosts ever further back. */
#define LEARNED_LATE_US (300 * PPS_US_PER_MS)
/** Answers of the target before more sessions are moved. */
#define ANSWERS_MIN 20
/** Failures that the target must show, and by how much its share of failures
 * must lie above the others', in all and in standard errors. */
#define FAILURES_MIN 4
#define FAILURES_MORE 0.12
#define STANDARD_ERRORS 2.6
/** Timed answers and the factor from which the target is too slow. */
#define TIMED_MIN 6
#define SLOW_FACTOR 3.0
#define SLOW_MORE_US (200.0 * PPS_US_PER_MS)
/** Part of the stated exposure that is used up before the verdict. */
#define EXPOSURE_PART 0.8

static void
add_count(pps_rollout_count_t *sum, const pps_rollout_count_t *part)
{
    sum->answers += part->answers;
    sum->failures += part->failures;
    sum->timed += part->timed;
    sum->first_byte_us += part->first_byte_us;
}

void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *part)
{
    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        add_count(&sum->baseline[i], &part->baseline[i]);
        add_count(&sum->target[i], &part->target[i]);
    }
    sum->requests += part->requests;
    sum->exposed += part->exposed;
}

static int
fails_more(const pps_rollout_count_t *target,
           const pps_rollout_count_t *before)
{
    double n = target->answers;
    double m = before->answers;
    double bad = n > 0 ? target->failures / n : 0;
    double base = m > 0 ? before->failures / m : 0;
    double pooled;
    double error;

    if (target->failures < FAILURES_MIN || bad < base + FAILURES_MORE) {
        return 0;
    }
    if (m < 1) {
        return 1;
    }
    pooled = (target->failures + before->failures) / (n + m);
    error = sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
    return bad - base > STANDARD_ERRORS * error;
}

static int
is_slower(const pps_rollout_count_t *target, const pps_rollout_count_t *before)
{
    double mean;
    double base;

    if (target->timed < TIMED_MIN || before->timed < TIMED_MIN) {
        return 0;
    }
    mean = (double)target->first_byte_us / target->timed;
    base = (double)before->first_byte_us / before->timed;
    return mean > base * SLOW_FACTOR && mean > base + SLOW_MORE_US;
}

int
pps_rollout_is_bad(const pps_rollout_tally_t *tally)
{
    pps_rollout_count_t target = {0};
    pps_rollout_count_t before = {0};

    for (size_t i = 0; i < PPS_ROLLOUT_KINDS; i++) {
        if (fails_more(&tally->target[i], &tally->baseline[i]) ||
            is_slower(&tally->target[i], &tally->baseline[i])) {
            return 1;
        }
        add_count(&target, &tally->target[i]);
        add_count(&before, &tally->baseline[i]);
    }
    return fails_more(&target, &before);
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
exposure_is_used_up(const pps_rollout_tally_t *tally,
                    const pps_rollout_bounds_t *bounds)
{
    double allowed =
        tally->requests * bounds->exposure_share + bounds->exposure_more;

    return tally->exposed > allowed * EXPOSURE_PART;
}

static int64_t
still_us(const pps_rollout_t *rollout)
{
    return (int64_t)((double)rollout->duration_us * STILL_PART) +
           STILL_MORE_US;
}

/* Time between the first move and the end. */
static int64_t
moving_us(const pps_rollout_t *rollout)
{
    int64_t left = rollout->duration_us - still_us(rollout) - END_MARGIN_US;

    return left < PPS_US_PER_S ? PPS_US_PER_S : left;
}

void
pps_rollout_begin(pps_rollout_t *rollout, int64_t now_us)
{
    rollout->state = PPS_ROLLOUT_ACTIVE;
    rollout->started_us = now_us;
    rollout->share = 0;
    rollout->held = 0;
    rollout->next_share = FIRST_SHARE;
    rollout->next_age_us = still_us(rollout);
}

static void
plan(pps_rollout_t *rollout, unsigned int share, int64_t age_us)
{
    if (share > rollout->next_share && rollout->share == rollout->next_share) {
        rollout->next_share = share;
        rollout->next_age_us = age_us + NOTICE_US;
    }
}

static void
plan_moves(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
           const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    double part = (double)(age_us + NOTICE_US - still_us(rollout)) /
                  (double)moving_us(rollout);

    if (target_answers(tally) < ANSWERS_MIN) {
        return;
    }
    if (part >= SECOND_PART) {
        plan(rollout, PPS_ROLLOUT_SHARE_MAX, age_us);
    }
    else if (part >= FIRST_PART && !exposure_is_used_up(tally, bounds)) {
        plan(rollout, SECOND_SHARE, age_us);
    }
}

void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *heard)
{
    if (heard->started_us < rollout->started_us - LEARNED_LATE_US) {
        rollout->started_us = heard->started_us;
    }
    if (heard->share > rollout->share) {
        rollout->share = heard->share;
    }
    if (heard->next_share > rollout->next_share ||
        (heard->next_share == rollout->next_share &&
         heard->next_age_us < rollout->next_age_us)) {
        rollout->next_share = heard->next_share;
        rollout->next_age_us = heard->next_age_us;
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
    plan_moves(rollout, tally, bounds, age_us);
    return rollout->share == PPS_ROLLOUT_SHARE_MAX &&
                   age_us >= still_us(rollout) + moving_us(rollout)
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
