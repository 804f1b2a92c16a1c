/**
 * @file poison_key.h
 * @brief Keys of what requests have in common and may end workers.
 */
#ifndef PPS_POISON_POISON_KEY_H
#define PPS_POISON_POISON_KEY_H

#include <stdint.h>

/** Bit that tells the keys of whole requests from those of prompt parts. */
#define PPS_POISON_REQUEST_BIT UINT64_C(1)

/** Returns the key of a prompt part with a digest. */
static inline uint64_t
pps_poison_key_of_part(uint64_t digest)
{
    return digest & ~PPS_POISON_REQUEST_BIT;
}

/** Returns the key of a request with a digest: of all that makes it the same
 * request when it comes again. */
static inline uint64_t
pps_poison_key_of_request(uint64_t digest)
{
    return digest | PPS_POISON_REQUEST_BIT;
}

/** Returns whether a key is that of a whole request. */
static inline int
pps_poison_key_is_request(uint64_t key)
{
    return (key & PPS_POISON_REQUEST_BIT) != 0;
}

#endif
