/**
 * @file window.h
 * @brief How much of each answer may wait at a host for the one that reads it.
 *
 * Designed for many answers at once whose readers are slower than their
 * workers: each has an equal part of a buffer, so that one answer alone is
 * passed on at full speed and many do not take the host's memory.
 */
#ifndef PPS_MEMORY_WINDOW_H
#define PPS_MEMORY_WINDOW_H

#include <stddef.h>

/** Least and most bytes of an answer that may wait. */
#define PPS_WINDOW_MIN (8U << 10)
#define PPS_WINDOW_MAX (256U << 10)
/** Bytes that are read of an answer at once where it may have to wait. */
#define PPS_WINDOW_READ_BYTES (16U << 10)

/** Returns the bytes that may wait of each answer.
 * @param max bytes of all of them together @param answers under way */
size_t
pps_window_bytes(size_t max, size_t answers);

#endif
