/**
 * @file msgpack_check.h
 * @brief Validates untrusted msgpack before it is unpacked.
 *
 * msgpack_unpack_next() allocates as many elements as an array header
 * declares, up to 64 GiB for five bytes of input. Input that passes this check
 * declares no more elements than it contains.
 */
#ifndef PPS_UTIL_MSGPACK_CHECK_H
#define PPS_UTIL_MSGPACK_CHECK_H

#include <msgpack.h>
#include <stddef.h>

/** Checks that `data` is exactly one object. @return 0 or PPS_ECORRUPT */
int
pps_msgpack_check(const void *data, size_t size);

/**
 * Checks and unpacks `data`, which must be exactly one object. The caller
 * frees `out` with msgpack_unpacked_destroy(), also after an error.
 * @return 0 or PPS_ECORRUPT
 */
int
pps_msgpack_unpack(msgpack_unpacked *out, const void *data, size_t size);

#endif
