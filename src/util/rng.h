/**
 * @file rng.h
 * @brief Random numbers that a decision is given, repeatable from a seed.
 */
#ifndef PPS_UTIL_RNG_H
#define PPS_UTIL_RNG_H

#include <stddef.h>
#include <stdint.h>

#define PPS_RNG_BLOCK 64

/** A generator; not for keys. One per thread. */
typedef struct {
    uint64_t seed;
    uint64_t block;
    size_t used;
    uint64_t words[PPS_RNG_BLOCK];
} pps_rng_t;

/** Starts a generator; the same seed gives the same numbers. */
void
pps_rng_init(pps_rng_t *rng, uint64_t seed);

/** A seed that nobody can guess, from the system. */
uint64_t
pps_rng_system_seed(void);

/** The next 64 random bits. */
uint64_t
pps_rng_next(pps_rng_t *rng);

/** A whole number in [0, bound); 0 when bound is 0. */
uint64_t
pps_rng_below(pps_rng_t *rng, uint64_t bound);

/** A number in [0, 1). */
double
pps_rng_unit(pps_rng_t *rng);

#endif
