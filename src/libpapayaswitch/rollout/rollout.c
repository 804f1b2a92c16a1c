/** @file rollout.c @brief Steps of a roll-out. */
#include "rollout.h"

#include "clock.h"

/** Delay before the first move: a fraction of the duration and a margin. */
#define START_DELAY_FRACTION 0.5
#define START_DELAY_MARGIN_US (200 * PPS_US_PER_MS)
/** Time between the earliest completion and the operator's deadline. */
#define END_MARGIN_US (1500 * PPS_US_PER_MS)
/** Share of an unproven target, per thousand, and the fraction of the moving
 * time before which it isn't raised. */
#define FIRST_SHARE 200
#define FIRST_UNTIL 0.3
/** Time from planning a move, which is announced to all hosts, to the move. */
#define MOVE_NOTICE_US (1000 * PPS_US_PER_MS)
/** Remote starts earlier by at most this are ignored as timing errors of the
 * messages. Otherwise repeated merges would move the start ever earlier. */
#define START_TOLERANCE_US (300 * PPS_US_PER_MS)
/** Answers of an unproven target required before all sessions are moved. */
#define TARGET_ANSWERS_MIN 20
/** Fraction of the exposure bound that an unproven target may use. The rest
 * covers requests that hosts send before they learn that it is used up. */
#define EXPOSURE_FRACTION 0.8
/** Fraction of the rate of requests so far that is expected to go on. */
#define EXPECTED_FRACTION 0.75

/* Returns the requests to be expected until the end of the duration, over
 * which the bound is counted: at least a part of the requests so far comes
 * again. */
static double
expected_requests(const pps_rollout_t *rollout,
                  const pps_rollout_tally_t *tally, int64_t age_us)
{
    double remaining_us = (double)(rollout->duration_us - age_us);

    return remaining_us <= 0 || age_us <= 0
               ? tally->requests
               : tally->requests *
                     (1 + remaining_us / (double)age_us * EXPECTED_FRACTION);
}

static int
is_exposure_used_up(const pps_rollout_t *rollout,
                    const pps_rollout_tally_t *tally,
                    const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    double allowed =
        expected_requests(rollout, tally, age_us) * bounds->exposure_share +
        bounds->exposure_more;

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
    rollout->proven = 0;
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

/* Plans to move all sessions once the target is proven, or for the rest of the
 * trial: at most sites only then are its workers loaded. */
static void
plan_next_move(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
               int64_t age_us)
{
    double progress =
        (double)(age_us + MOVE_NOTICE_US - start_delay_us(rollout)) /
        (double)moving_us(rollout);

    if (rollout->proven ||
        (progress >= FIRST_UNTIL &&
         pps_rollout_sum_kinds(tally->target).answers >= TARGET_ANSWERS_MIN)) {
        plan_move(rollout, PPS_ROLLOUT_SHARE_MAX, age_us);
    }
}

void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *remote)
{
    if (remote->started_us < rollout->started_us - START_TOLERANCE_US) {
        rollout->started_us = remote->started_us;
    }
    rollout->proven |= remote->proven;
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

/* Returns whether the target has to be rolled back: it is bad, or the requests
 * or the time are used up in which it could be proven. */
static int
must_hold(const pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
          const pps_rollout_basis_t *basis, int64_t age_us)
{
    if (rollout->held || pps_rollout_is_bad(tally)) {
        return 1;
    }
    return !rollout->proven &&
           (is_exposure_used_up(rollout, tally, &basis->bounds, age_us) ||
            (basis->knows_all_hosts && age_us >= rollout->duration_us));
}

pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_basis_t *basis, int64_t now_us)
{
    int64_t age_us = now_us - rollout->started_us;
    int is_sound = pps_rollout_is_sound(tally);

    if (rollout->state != PPS_ROLLOUT_ACTIVE) {
        return PPS_ROLLOUT_CONTINUE;
    }
    rollout->proven |= is_sound;
    if (must_hold(rollout, tally, basis, age_us)) {
        rollout->held = 1;
        return PPS_ROLLOUT_ROLL_BACK;
    }
    if (age_us >= rollout->next_age_us) {
        rollout->share = rollout->next_share;
    }
    plan_next_move(rollout, tally, age_us);
    return is_sound && rollout->share == PPS_ROLLOUT_SHARE_MAX &&
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

int
pps_rollout_is_on_trial(const pps_rollout_t *rollout)
{
    return rollout->state == PPS_ROLLOUT_ACTIVE && !rollout->proven;
}
