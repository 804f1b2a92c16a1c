/**
 * @file append_rate.h
 * @brief Token bucket that bounds the appends a second.
 */
#ifndef STANDIN_APPEND_RATE_H
#define STANDIN_APPEND_RATE_H

#include <stdint.h>

/** The bucket; holds a tenth of a second's appends. Not locked. */
typedef struct {
    double per_second;
    double tokens;
    int64_t filled_us;
} append_rate_t;

/** Starts with a full bucket. */
void
append_rate_init(append_rate_t *rate, int per_second, int64_t now_us);

/** Takes one token. @return whether there was one */
int
append_rate_take(append_rate_t *rate, int64_t now_us);

#endif
