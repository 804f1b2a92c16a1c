/**
 * @file rollout.h
 * @brief Moves an upstream's requests to a new version step by step, and
 * judges that version by what all hosts have seen. Pure: time and evidence
 * come in as arguments.
 *
 * Sessions are moved by their digest, so that all hosts move the same ones,
 * and none is moved back while the version stands. Nothing is moved in the
 * first half of the time that the operator gave, so that sessions under way
 * end where they began.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_H
#define PPS_ROLLOUT_ROLLOUT_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of request whose evidence is kept apart. */
#define PPS_ROLLOUT_KINDS 8
#define PPS_ROLLOUT_TEXT_BYTES 64
/** A share of all sessions. */
#define PPS_ROLLOUT_SHARE_MAX 1000

/** How far a roll-out is. */
typedef enum {
    PPS_ROLLOUT_NONE,
    PPS_ROLLOUT_ACTIVE,
    PPS_ROLLOUT_COMPLETED,
    PPS_ROLLOUT_ROLLED_BACK,
} pps_rollout_state_t;

/** What was seen of one version and one kind of request. */
typedef struct {
    uint32_t answers;
    uint32_t failures;
    uint32_t timed;         /**< answers whose first byte was timed */
    uint64_t first_byte_us; /**< sum over these */
} pps_rollout_count_t;

/** What was seen since the roll-out began. */
typedef struct {
    pps_rollout_count_t baseline[PPS_ROLLOUT_KINDS]; /**< versions before */
    pps_rollout_count_t target[PPS_ROLLOUT_KINDS];
    uint32_t requests; /**< of callers, to this upstream */
    uint32_t exposed;  /**< sent to the target */
} pps_rollout_tally_t;

/** A roll-out. */
typedef struct {
    char upstream[PPS_ROLLOUT_TEXT_BYTES];
    char target[PPS_ROLLOUT_TEXT_BYTES]; /**< version */
    pps_rollout_state_t state;
    int64_t started_us;
    int64_t duration_us;
    unsigned int share;      /**< of sessions at the target, of the whole */
    unsigned int next_share; /**< from `next_age_us` on; all hosts are told
                                  of it before */
    int64_t next_age_us;
    int held; /**< the target is judged bad */
} pps_rollout_t;

/** What is to be done now. */
typedef enum {
    PPS_ROLLOUT_CONTINUE,
    PPS_ROLLOUT_COMPLETE,
    PPS_ROLLOUT_ROLL_BACK,
} pps_rollout_verdict_t;

/** Bounds that the operator states. */
typedef struct {
    double exposure_share;      /**< of the requests, while it may be bad */
    unsigned int exposure_more; /**< requests beyond that */
} pps_rollout_bounds_t;

/** Adds one tally to another. */
void
pps_rollout_tally_add(pps_rollout_tally_t *sum,
                      const pps_rollout_tally_t *part);

/** Whether the evidence speaks against the target. */
int
pps_rollout_is_bad(const pps_rollout_tally_t *tally);

/** Sets the share and says what is to be done. */
pps_rollout_verdict_t
pps_rollout_step(pps_rollout_t *rollout, const pps_rollout_tally_t *tally,
                 const pps_rollout_bounds_t *bounds, int64_t now_us);

/** Whether a session with that digest goes to the target. */
int
pps_rollout_has_moved(const pps_rollout_t *rollout, uint64_t session_digest,
                      int64_t now_us);

/** Begins: plans the first move. Sets state and start. */
void
pps_rollout_begin(pps_rollout_t *rollout, int64_t now_us);

/** Takes over what another host has planned for the same roll-out. */
void
pps_rollout_merge(pps_rollout_t *rollout, const pps_rollout_t *heard);

#endif
