/**
 * @file relay_window.h
 * @brief How much of each answer waits at a host that passes it on.
 *
 * Designed for many calls at once to workers that send faster than the other
 * hosts take it: each call has an equal part, so that one answer alone is
 * passed on at full speed and many do not take the host's memory.
 */
#ifndef PPS_RELAY_RELAY_WINDOW_H
#define PPS_RELAY_RELAY_WINDOW_H

#include <stddef.h>

/** Least and most bytes of an answer that may wait. */
#define PPS_RELAY_WINDOW_MIN (8U << 10)
#define PPS_RELAY_WINDOW_MAX (256U << 10)

/** Returns the bytes that may wait of each answer.
 * @param queued_max of all answers @param calls under way */
size_t
pps_relay_window_bytes(size_t queued_max, size_t calls);

#endif
