/** @file rollout.c @brief Steps of a roll-out. */
#include "rollout.h"

#include "clock.h"

/** Delay before the first move: a fraction of the duration and a margin. */
#define START_DELAY_FRACTION 0.5
#define START_DELAY_MARGIN_US (200 * PPS_US_PER_MS)
/** Time between the earliest completion and the operator's deadline. */
#define END_MARGIN_US (1500 * PPS_US_PER_MS)
/** Bounds of the share of an unproven target, per thousand, and the steps in
 * which it is planned, so that hosts with like counts plan the same. */
#define TRIAL_SHARE_MIN 20
#define TRIAL_SHARE_MAX 240
#define TRIAL_SHARE_STEP 20
/** A clean target that could not be loaded gets all sessions so late that it
 * stays within the bound to the end: for this time at most, and at least. */
#define LAST_MOVE_MAX_US (2000 * PPS_US_PER_MS)
#define LAST_MOVE_MIN_US (900 * PPS_US_PER_MS)
/** Time before the end at which a clean target is completed. */
#define LAST_COMPLETION_US (1200 * PPS_US_PER_MS)
/** Time from planning a move, which is announced to all hosts, to the move. */
#define MOVE_NOTICE_US (1000 * PPS_US_PER_MS)
/** Remote starts earlier by at most this are ignored as timing errors of the
 * messages. Otherwise repeated merges would move the start ever earlier. */
#define START_TOLERANCE_US (300 * PPS_US_PER_MS)
/** Fraction of the exposure bound that an unproven target may use. The rest
 * covers requests that hosts send before they learn that it is used up. */
#define EXPOSURE_FRACTION 0.8
/** Fraction of the rate of requests so far that is expected to go on. */
#define EXPECTED_FRACTION 0.75
/** Fraction of the bound that a clean target may use to the end. */
#define LAST_EXPOSURE_FRACTION 0.85
/** Fraction of the requests running before the last move that still run at the
 * completion, which stops their workers: they go to the target, too. */
#define STILL_RUNNING_FRACTION 0.3
/** How much more often than on average requests may come at the end. */
#define LAST_RATE_FACTOR 1.3

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

static double
allowed_exposure(const pps_rollout_t *rollout,
                 const pps_rollout_tally_t *tally,
                 const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    return expected_requests(rollout, tally, age_us) * bounds->exposure_share +
           bounds->exposure_more;
}

static int
is_exposure_used_up(const pps_rollout_t *rollout,
                    const pps_rollout_tally_t *tally,
                    const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    double fraction = rollout->next_share == PPS_ROLLOUT_SHARE_MAX
                          ? LAST_EXPOSURE_FRACTION
                          : EXPOSURE_FRACTION;

    return tally->exposed >
           allowed_exposure(rollout, tally, bounds, age_us) * fraction;
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
    rollout->hold_reason = PPS_ROLLOUT_HOLD_UNKNOWN;
    rollout->proven = 0;
    rollout->next_share = 0;
    rollout->next_age_us = 0;
}

static void
plan_move(pps_rollout_t *rollout, unsigned int share, int64_t age_us)
{
    if (share > rollout->next_share && rollout->share == rollout->next_share) {
        rollout->next_share = share;
        rollout->next_age_us = age_us;
    }
}

/* Returns the time before the end in which all sessions can be on a target
 * that may be bad, so that the bound is kept: what the trial leaves of it. */
static int64_t
last_move_us(const pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
             const pps_rollout_basis_t *basis, int64_t age_us)
{
    double rate =
        LAST_RATE_FACTOR * tally->requests / (double)(age_us > 0 ? age_us : 1);
    double until_move_us =
        (double)(rollout->duration_us - age_us - LAST_MOVE_MAX_US);
    double exposed = tally->exposed + basis->running * STILL_RUNNING_FRACTION;
    double left;

    if (until_move_us > 0) {
        exposed +=
            rate * until_move_us * rollout->share / PPS_ROLLOUT_SHARE_MAX;
    }
    left = allowed_exposure(rollout, tally, &basis->bounds, age_us) *
               LAST_EXPOSURE_FRACTION -
           exposed;
    if (rate <= 0 || left / rate > LAST_MOVE_MAX_US) {
        return LAST_MOVE_MAX_US;
    }
    return left > 0 ? (int64_t)(left / rate) : 0;
}

/* Returns the share of the sessions that try the target: the share of all
 * requests that the operator allows a bad one. As the trial lasts for less
 * than half of the time, it uses up less than half of that. */
static unsigned int
trial_share(const pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
            const pps_rollout_bounds_t *bounds, int64_t age_us)
{
    double expected =
        tally->requests * (double)rollout->duration_us / (double)age_us;
    double share = bounds->exposure_share +
                   (expected > 0 ? bounds->exposure_more / expected : 1);

    share *= PPS_ROLLOUT_SHARE_MAX;
    if (share < TRIAL_SHARE_MIN) {
        return TRIAL_SHARE_MIN;
    }
    return share < TRIAL_SHARE_MAX
               ? (unsigned int)share / TRIAL_SHARE_STEP * TRIAL_SHARE_STEP
               : TRIAL_SHARE_MAX;
}

/* Plans the move that begins the trial, and the move of all sessions once the
 * target is proven, or shortly before the end if it is clean. */
static void
plan_next_move(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
               const pps_rollout_basis_t *basis, int64_t age_us)
{
    int64_t move_us = age_us + MOVE_NOTICE_US;
    int64_t last_us = last_move_us(rollout, tally, basis, age_us);

    if (rollout->next_share == 0) {
        if (move_us >= start_delay_us(rollout)) {
            plan_move(rollout,
                      trial_share(rollout, tally, &basis->bounds, age_us),
                      move_us);
        }
        return;
    }
    if (rollout->proven || (last_us >= LAST_MOVE_MIN_US &&
                            move_us >= rollout->duration_us - last_us &&
                            pps_rollout_is_clean(tally))) {
        plan_move(rollout, PPS_ROLLOUT_SHARE_MAX, move_us);
    }
}

/* Returns the age from which the roll-out can be completed. */
static int64_t
completion_age_us(const pps_rollout_t *rollout)
{
    int64_t early_us = start_delay_us(rollout) + moving_us(rollout);
    int64_t last_us = rollout->duration_us - LAST_COMPLETION_US;

    return rollout->proven || last_us < early_us ? early_us : last_us;
}

void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *remote)
{
    if (remote->started_us < rollout->started_us - START_TOLERANCE_US) {
        rollout->started_us = remote->started_us;
    }
    if (rollout->duration_us == 0) {
        rollout->duration_us = remote->duration_us;
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

/* Returns why the target has to be rolled back: it is bad, or the requests or
 * the time are used up in which it could be proven. */
static pps_rollout_hold_t
find_hold_reason(const pps_rollout_t *rollout,
                 const pps_rollout_tally_t *tally,
                 const pps_rollout_basis_t *basis, int64_t age_us)
{
    if (pps_rollout_is_bad(tally)) {
        return PPS_ROLLOUT_HOLD_BAD;
    }
    if (rollout->proven) {
        return PPS_ROLLOUT_HOLD_UNKNOWN;
    }
    if (!basis->is_cut_off &&
        is_exposure_used_up(rollout, tally, &basis->bounds, age_us)) {
        return PPS_ROLLOUT_HOLD_EXPOSURE;
    }
    return age_us >= rollout->duration_us ? PPS_ROLLOUT_HOLD_TIME
                                          : PPS_ROLLOUT_HOLD_UNKNOWN;
}

static int
must_hold(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
          const pps_rollout_basis_t *basis, int64_t age_us)
{
    if (!rollout->held && basis->knows_all_hosts) {
        rollout->hold_reason = find_hold_reason(rollout, tally, basis, age_us);
        rollout->held = rollout->hold_reason != PPS_ROLLOUT_HOLD_UNKNOWN;
    }
    return rollout->held;
}

pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_basis_t *basis, int64_t now_us)
{
    int64_t age_us = now_us - rollout->started_us;

    if (rollout->state != PPS_ROLLOUT_ACTIVE ||
        (rollout->duration_us == 0 && !rollout->held)) {
        return PPS_ROLLOUT_CONTINUE;
    }
    rollout->proven |= pps_rollout_is_sound(tally);
    if (must_hold(rollout, tally, basis, age_us)) {
        return PPS_ROLLOUT_ROLL_BACK;
    }
    if (age_us >= rollout->next_age_us) {
        rollout->share = rollout->next_share;
    }
    if (basis->knows_all_hosts) {
        plan_next_move(rollout, tally, basis, age_us);
    }
    return basis->knows_all_hosts && rollout->share == PPS_ROLLOUT_SHARE_MAX &&
                   age_us >= completion_age_us(rollout) &&
                   pps_rollout_is_clean(tally)
               ? PPS_ROLLOUT_COMPLETE
               : PPS_ROLLOUT_CONTINUE;
}

int
pps_rollout_supports_hold(const pps_rollout_t *rollout,
                          const pps_rollout_tally_t *tally,
                          const pps_rollout_basis_t *basis, int64_t now_us)
{
    return find_hold_reason(rollout, tally, basis,
                            now_us - rollout->started_us) !=
           PPS_ROLLOUT_HOLD_UNKNOWN;
}

unsigned int
pps_rollout_share(const pps_rollout_t *rollout, int64_t now_us)
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
                                     pps_rollout_share(rollout, now_us);
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
