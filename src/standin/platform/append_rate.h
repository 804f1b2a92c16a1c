/**
 * @file append_rate.h
 * @brief Token bucket that limits the log's appends per second.
 */
#ifndef STANDIN_APPEND_RATE_H
#define STANDIN_APPEND_RATE_H

#include <stdint.h>

/** Bucket that holds the appends of 0.1 s, at least one. Not thread-safe. */
typedef struct {
    double per_second;
    double tokens;
    int64_t refilled_us;
} append_rate_t;

/** Initializes a full bucket. */
void
append_rate_init(append_rate_t *rate, int per_second, int64_t now_us);

/** Takes one token. @return whether one was available */
int
append_rate_take(append_rate_t *rate, int64_t now_us);

#endif
