/**
 * @file rng.h
 * @brief Random numbers for decisions, reproducible from a seed.
 */
#ifndef PPS_UTIL_RNG_H
#define PPS_UTIL_RNG_H

#include <stddef.h>
#include <stdint.h>

#define PPS_RNG_BLOCK_WORDS 64

/** Generator, used by one thread; not for cryptographic keys. */
typedef struct {
    uint64_t seed;
    uint64_t block; /**< number of the next block */
    size_t used;    /**< words of the current block that were returned */
    uint64_t words[PPS_RNG_BLOCK_WORDS];
} pps_rng_t;

/** Initializes a generator; equal seeds yield equal sequences. */
void
pps_rng_init(pps_rng_t *rng, uint64_t seed);

/** Returns an unpredictable seed from the system. */
uint64_t
pps_rng_system_seed(void);

/** Returns the next 64 random bits. */
uint64_t
pps_rng_next(pps_rng_t *rng);

/** Returns an integer in [0, bound); 0 if `bound` is 0. */
uint64_t
pps_rng_below(pps_rng_t *rng, uint64_t bound);

/** Returns a number in [0, 1). */
double
pps_rng_unit(pps_rng_t *rng);

#endif
