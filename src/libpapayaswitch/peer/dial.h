/**
 * @file dial.h
 * @brief When to dial a host, when to give a link up, when to suspect.
 *
 * Pure state: time and random numbers are arguments. A silent link is given
 * up and a new one is tried at once; only when that one stays silent too is
 * the host suspected, since a middlebox may have forgotten the first.
 */
#ifndef PPS_PEER_DIAL_H
#define PPS_PEER_DIAL_H

#include "clock.h"
#include "rng.h"

/** A link without a pong for so long is given up. */
#define PPS_DIAL_PONG_TIMEOUT_US (1000 * PPS_US_PER_MS)
/** Bounds of the pause between failed attempts. */
#define PPS_DIAL_BACKOFF_MIN_US (50 * PPS_US_PER_MS)
#define PPS_DIAL_BACKOFF_MAX_US (2000 * PPS_US_PER_MS)

/** Attempts to reach one host. */
typedef struct {
    int64_t attempt_us;      /**< start of the attempt, or PPS_TIME_NONE */
    int64_t attempt_pong_us; /**< last pong on it, or PPS_TIME_NONE */
    int64_t retry_us;        /**< when to try next */
    int64_t backoff_us;
    int64_t last_pong_us;  /**< last pong on any link; at first the start */
    unsigned int failures; /**< attempts that ended since then */
} pps_dial_t;

/** Starts; the first attempt is due at once. */
void
pps_dial_init(pps_dial_t *dial, int64_t now_us);

/** Whether an attempt should start. */
int
pps_dial_is_due(const pps_dial_t *dial, int64_t now_us);

/** An attempt starts. */
void
pps_dial_begin(pps_dial_t *dial, int64_t now_us);

/** A pong arrived, on the dialled link or on one from the other side. */
void
pps_dial_record_pong(pps_dial_t *dial, int64_t now_us, int on_attempt);

/** Whether the attempt has been silent for too long. */
int
pps_dial_has_timed_out(const pps_dial_t *dial, int64_t now_us);

/** The attempt ended. */
void
pps_dial_end(pps_dial_t *dial, int64_t now_us, pps_rng_t *rng);

/** The host shows signs of life: the next attempt is due at once. */
void
pps_dial_retry_now(pps_dial_t *dial, int64_t now_us);

/** Whether the host is to be taken for dead. */
int
pps_dial_is_suspected(const pps_dial_t *dial, int64_t now_us);

#endif
