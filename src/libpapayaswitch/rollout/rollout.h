/**
 * @file rollout.h
 * @brief Moves an upstream's sessions to a new version step by step, by the
 * results of all hosts. Does no I/O and reads no clock.
 *
 * Sessions are selected by their digest, so that all hosts move the same ones.
 * A moved session stays on the target unless the target is held or rolled
 * back. Nothing is moved in the first half of the operator's duration, so that
 * running sessions can end on the version where they began.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_H
#define PPS_ROLLOUT_ROLLOUT_H

#include "verdict.h"

#include <stddef.h>
#include <stdint.h>

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

/** Why a target is held. */
typedef enum {
    PPS_ROLLOUT_HOLD_UNKNOWN,  /**< not held, or held by a host of an older
                                    build, which doesn't tell why */
    PPS_ROLLOUT_HOLD_BAD,      /**< its results show that it is bad */
    PPS_ROLLOUT_HOLD_EXPOSURE, /**< unproven, and it may get no more requests
                                */
    PPS_ROLLOUT_HOLD_TIME,     /**< unproven, and the duration is over */
} pps_rollout_hold_t;

/** A roll-out of one upstream to a target version. */
typedef struct {
    char upstream[PPS_ROLLOUT_TEXT_BYTES];
    char target[PPS_ROLLOUT_TEXT_BYTES]; /**< target version */
    pps_rollout_state_t state;
    int64_t started_us;      /**< on this host's clock */
    int64_t duration_us;     /**< the operator's limit for the roll-out; 0: not
                                  known yet */
    unsigned int share;      /**< sessions on the target, per thousand */
    unsigned int next_share; /**< planned share, announced in advance */
    int64_t next_age_us;     /**< time from the start to the planned move */
    int proven;              /**< target is shown to be sound; final */
    int held;                /**< target failed or could not be proven, gets
                                  no sessions; final */
    pps_rollout_hold_t hold_reason;
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

/** What a step of a roll-out rests on. */
typedef struct {
    pps_rollout_bounds_t bounds;
    /** The results of all hosts are known, rather than those of the hosts that
     * send theirs to this one, or since this one started. Only then is a
     * target judged: each judgement of a few answers may be wrong, and many
     * hosts would judge. */
    int knows_all_hosts;
    /** Most hosts are out of touch with this one, so that their requests are
     * missing, and what is left of the bound is not known. */
    int is_cut_off;
    double running; /**< requests at the upstream's workers */
} pps_rollout_basis_t;

/**
 * Updates share and hold, plans the next move. An unproven target gets at most
 * a fraction of the requests that the operator allows a bad one; if that or
 * the operator's duration is used up, it is held and rolled back. A target
 * that is shown to be sound gets all sessions and is completed. One that is
 * clean but could not be loaded gets them so late that the bound is kept even
 * if it is bad, and is completed just before the end. Without a known duration
 * nothing is judged or planned.
 * @return the due action
 */
pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_basis_t *basis, int64_t now_us);

/** Returns whether what a host knows supports a hold that another one has told
 * of. */
int
pps_rollout_supports_hold(const pps_rollout_t *rollout,
                          const pps_rollout_tally_t *tally,
                          const pps_rollout_basis_t *basis, int64_t now_us);

/** Returns whether the roll-out is active and its target unproven. */
int
pps_rollout_is_on_trial(const pps_rollout_t *rollout);

/** Returns whether the session with this digest is on the target. A planned
 * move takes effect at its time, without a step. */
int
pps_rollout_has_moved(const pps_rollout_t *rollout, uint64_t session_digest,
                      int64_t now_us);

/** Returns the share of the sessions on the target, per thousand. */
unsigned int
pps_rollout_share(const pps_rollout_t *rollout, int64_t now_us);

/** Starts the roll-out without a planned move. */
void
pps_rollout_begin(pps_rollout_t *rollout, int64_t now_us);

/** Adopts another host's start if it is clearly earlier, its duration if none
 * is known, its share if larger, its planned move if it is to a larger share
 * or earlier, and its proof. */
void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *remote);

#endif
