/**
 * @file msgpack_guard.h
 * @brief A look at msgpack bytes before the library allocates for them.
 *
 * The library reserves memory for as many elements as an array's header
 * claims. Five bytes can claim 64 GB.
 */
#ifndef PPS_PEER_MSGPACK_GUARD_H
#define PPS_PEER_MSGPACK_GUARD_H

#include <msgpack.h>
#include <stddef.h>

/**
 * Checks that the bytes are one whole object whose headers claim no more than
 * follows them.
 * @return 0 or PPS_ECORRUPT
 */
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
