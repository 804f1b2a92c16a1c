/**
 * @file rollout.h
 * @brief Moves an upstream's sessions to a new version step by step and
 * evaluates that version by the results of all hosts. Does no I/O and reads no
 * clock.
 *
 * Sessions are selected by their digest, so that all hosts move the same ones.
 * A moved session stays on the target unless the target is held or rolled
 * back. Nothing is moved in the first half of the operator's duration, so that
 * running sessions can end on the version where they began.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_H
#define PPS_ROLLOUT_ROLLOUT_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of request counted separately: the route's index modulo this. */
#define PPS_ROLLOUT_KINDS 8
#define PPS_ROLLOUT_TEXT_BYTES 64
/** Share of all sessions; shares are per thousand. */
#define PPS_ROLLOUT_SHARE_MAX 1000

/** State of a roll-out. */
typedef enum {
    PPS_ROLLOUT_NONE,
    PPS_ROLLOUT_ACTIVE,
    PPS_ROLLOUT_COMPLETED,
    PPS_ROLLOUT_ROLLED_BACK,
} pps_rollout_state_t;

/** Results of the target or the baseline for one kind of request. */
typedef struct {
    uint32_t answers;
    uint32_t failures;
    uint32_t timed;         /**< answers with a time to the first byte */
    uint64_t first_byte_us; /**< sum of these times */
} pps_rollout_count_t;

/** Results since the roll-out began. */
typedef struct {
    pps_rollout_count_t baseline[PPS_ROLLOUT_KINDS]; /**< other versions */
    pps_rollout_count_t target[PPS_ROLLOUT_KINDS];
    uint32_t requests; /**< callers' requests to the upstream */
    uint32_t exposed;  /**< calls sent to the target */
} pps_rollout_tally_t;

/** A roll-out of one upstream to a target version. */
typedef struct {
    char upstream[PPS_ROLLOUT_TEXT_BYTES];
    char target[PPS_ROLLOUT_TEXT_BYTES]; /**< target version */
    pps_rollout_state_t state;
    int64_t started_us;      /**< on this host's clock */
    int64_t duration_us;     /**< the operator's limit for the roll-out */
    unsigned int share;      /**< sessions on the target, per thousand */
    unsigned int next_share; /**< planned share, announced in advance */
    int64_t next_age_us;     /**< time from the start to the planned move */
    int held;                /**< target failed, gets no sessions; final */
} pps_rollout_t;

/** Action that a step calls for. */
typedef enum {
    PPS_ROLLOUT_CONTINUE,
    PPS_ROLLOUT_COMPLETE,
    PPS_ROLLOUT_ROLL_BACK,
} pps_rollout_verdict_t;

/** The operator's bound on requests exposed to a possibly bad target. */
typedef struct {
    double exposure_share;      /**< fraction of the requests */
    unsigned int exposure_more; /**< requests allowed on top of the fraction */
} pps_rollout_bounds_t;

/** Adds `tally` to `sum`. */
void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *tally);

/** Returns whether the target is much slower than the baseline in a kind of
 * request, or fails more often in a kind or in all kinds together. */
int
pps_rollout_is_bad(const pps_rollout_tally_t *tally);

/** Updates share and hold, plans the next move. @return the due action */
pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_bounds_t *bounds, int64_t now_us);

/** Returns whether the session with this digest is on the target. A planned
 * move takes effect at its time, without a step. */
int
pps_rollout_has_moved(const pps_rollout_t *rollout, uint64_t session_digest,
                      int64_t now_us);

/** Starts the roll-out and plans the first move. Requires `duration_us`. */
void
pps_rollout_begin(pps_rollout_t *rollout, int64_t now_us);

/** Adopts another host's start if it is clearly earlier, its share if larger,
 * and its planned move if it is to a larger share or earlier. */
void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *remote);

#endif
