/**
 * @file hash_table.h
 * @brief Includes uthash with XXH64 and a fixed seed as its hash function.
 */
#ifndef PPS_UTIL_HASH_TABLE_H
#define PPS_UTIL_HASH_TABLE_H

#include <xxhash.h>

#define HASH_FUNCTION(key, size, hash)                                        \
    (hash) = (unsigned int)XXH64((key), (size), 0)

#include <uthash.h>

#endif
