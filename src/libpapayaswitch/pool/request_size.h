/**
 * @file request_size.h
 * @brief The memory that requests take at a worker, counted in slots: each
 * slot stands for an equal part of the worker's memory. Does no I/O and reads
 * no clock.
 */
#ifndef PPS_POOL_REQUEST_SIZE_H
#define PPS_POOL_REQUEST_SIZE_H

#include <stdint.h>

/** The longest prompt that hosts have seen lately for an upstream. Zero: none.
 */
typedef struct {
    int64_t tokens;
    int64_t seen_us;
} pps_longest_prompt_t;

/** Returns the slots' worth of memory that a prompt takes, at least 1 and at
 * most `slots`.
 * @param memory_tokens of the worker; 0: unknown */
unsigned int
pps_request_size(int64_t tokens, int64_t memory_tokens, unsigned int slots);

/** Notes a prompt that this host has received, or another host tells of. */
void
pps_longest_prompt_note(pps_longest_prompt_t *longest, int64_t tokens,
                        int64_t now_us);

/** Returns the tokens of the longest prompt seen lately; 0: none. */
int64_t
pps_longest_prompt_tokens(const pps_longest_prompt_t *longest, int64_t now_us);

/** Returns the size that hosts divide permits for: that of the longest prompt,
 * rounded up to a power of two, so that hosts which have seen different ones
 * mostly agree. At least 1, at most `slots`. */
unsigned int
pps_longest_prompt_size(const pps_longest_prompt_t *longest,
                        int64_t memory_tokens, unsigned int slots,
                        int64_t now_us);

#endif
