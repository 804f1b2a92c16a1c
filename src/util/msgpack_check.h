/**
 * @file msgpack_check.h
 * @brief Whether bytes are one whole msgpack object, before it is unpacked.
 *
 * msgpack_unpack_next() allocates what an array header claims, up to 64 GiB
 * for five bytes. Bytes that pass here claim no more elements than they have.
 */
#ifndef PPS_UTIL_MSGPACK_CHECK_H
#define PPS_UTIL_MSGPACK_CHECK_H

#include <stddef.h>

/** @return 0 when `data` is exactly one object, or PPS_ECORRUPT */
int
pps_msgpack_check(const void *data, size_t size);

#endif
