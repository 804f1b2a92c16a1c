/** @file rng.c @brief Generates random numbers with libsodium from a seed. */
#include "rng.h"

#include <sodium.h>
#include <string.h>

void
pps_rng_init(pps_rng_t *rng, uint64_t seed)
{
    memset(rng, 0, sizeof(*rng));
    rng->seed = seed;
    rng->used = PPS_RNG_BLOCK_WORDS;
}

uint64_t
pps_rng_system_seed(void)
{
    uint64_t seed;

    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

static void
refill(pps_rng_t *rng)
{
    unsigned char seed[randombytes_SEEDBYTES] = {0};

    memcpy(seed, &rng->seed, sizeof(rng->seed));
    memcpy(seed + sizeof(rng->seed), &rng->block, sizeof(rng->block));
    randombytes_buf_deterministic(rng->words, sizeof(rng->words), seed);
    rng->block++;
    rng->used = 0;
}

uint64_t
pps_rng_next(pps_rng_t *rng)
{
    if (rng->used >= PPS_RNG_BLOCK_WORDS) {
        refill(rng);
    }
    return rng->words[rng->used++];
}

uint64_t
pps_rng_below(pps_rng_t *rng, uint64_t bound)
{
    return (uint64_t)(((__uint128_t)pps_rng_next(rng) * bound) >> 64);
}

double
pps_rng_unit(pps_rng_t *rng)
{
    return (double)(pps_rng_next(rng) >> 11) * 0x1.0p-53;
}
