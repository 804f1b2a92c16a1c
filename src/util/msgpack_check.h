/**
 * @file msgpack_check.h
 * @brief Whether bytes are one whole msgpack object, before it is unpacked.
 *
 * msgpack_unpack_next() allocates what an array header claims, up to 64 GiB
 * for five bytes. Bytes that pass here claim no more elements than they have.
 */
#ifndef PPS_UTIL_MSGPACK_CHECK_H
#define PPS_UTIL_MSGPACK_CHECK_H

#include <msgpack.h>
#include <stddef.h>

/** @return 0 when `data` is exactly one object, or PPS_ECORRUPT */
int
pps_msgpack_check(const void *data, size_t size);

/**
 * Unpacks one object that takes all the bytes, after the check. The caller
 * ends with msgpack_unpacked_destroy(), also after an error.
 * @return 0 or PPS_ECORRUPT
 */
int
pps_msgpack_unpack(msgpack_unpacked *out, const void *data, size_t size);

#endif
