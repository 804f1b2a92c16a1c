/**
 * @file dial.h
 * @brief Decides when to dial a host, drop a silent link or suspect the host.
 *
 * Does no I/O and reads no clock: time and random numbers are arguments. A
 * silent link is dropped and replaced at once. The host is suspected only if
 * the new link is silent too, as a middlebox may have dropped the first one.
 */
#ifndef PPS_PEER_DIAL_H
#define PPS_PEER_DIAL_H

#include "clock.h"
#include "rng.h"

/** Time without a pong after which a link is dropped, in microseconds. */
#define PPS_DIAL_PONG_TIMEOUT_US (1000 * PPS_US_PER_MS)
/** Bounds of the delay after a failed attempt, in microseconds. */
#define PPS_DIAL_BACKOFF_MIN_US (50 * PPS_US_PER_MS)
#define PPS_DIAL_BACKOFF_MAX_US (2000 * PPS_US_PER_MS)

/** State of the connection attempts to one host. */
typedef struct {
    int64_t attempt_us; /**< start of the current attempt, or PPS_TIME_NONE */
    int64_t attempt_pong_us; /**< last pong on it, or PPS_TIME_NONE */
    int64_t retry_us;        /**< earliest start of the next attempt */
    int64_t backoff_us;
    int64_t last_pong_us;  /**< last pong on any link, initially the start */
    unsigned int failures; /**< attempts ended since last_pong_us */
} pps_dial_t;

/** Initializes the state; the first attempt is due at once. */
void
pps_dial_init(pps_dial_t *dial, int64_t now_us);

/** Returns whether an attempt should start. */
int
pps_dial_is_due(const pps_dial_t *dial, int64_t now_us);

/** Records the start of an attempt. */
void
pps_dial_begin(pps_dial_t *dial, int64_t now_us);

/** Records a pong. `on_attempt` is 1 if it arrived on the outbound link. */
void
pps_dial_record_pong(pps_dial_t *dial, int64_t now_us, int on_attempt);

/** Returns whether the link of the current attempt had no pong for
 * PPS_DIAL_PONG_TIMEOUT_US. */
int
pps_dial_has_timed_out(const pps_dial_t *dial, int64_t now_us);

/** Records the end of the attempt and schedules the next: at once if it had a
 * pong, else after a jittered exponential backoff. */
void
pps_dial_end(pps_dial_t *dial, int64_t now_us, pps_rng_t *rng);

/** Makes the next attempt due at once and resets the backoff. Call it when the
 * host has connected to this one or its address has changed. */
void
pps_dial_retry_now(pps_dial_t *dial, int64_t now_us);

/** Returns whether the host is suspected to be dead: two attempts ended
 * since the last pong, which is at least PPS_DIAL_PONG_TIMEOUT_US old. */
int
pps_dial_is_suspected(const pps_dial_t *dial, int64_t now_us);

#endif
