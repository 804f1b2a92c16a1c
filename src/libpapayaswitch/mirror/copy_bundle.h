/**
 * @file copy_bundle.h
 * @brief Encodes the copies of several topics for one transfer: a msgpack
 * array of arrays of a topic's name and its compressed copy.
 */
#ifndef PPS_MIRROR_COPY_BUNDLE_H
#define PPS_MIRROR_COPY_BUNDLE_H

#include "buf.h"

/** Receives a topic's compressed copy, valid during the call. */
typedef void (*pps_copy_bundle_fn)(void *user, const char *topic,
                                   size_t topic_size, const char *packed,
                                   size_t size);

/** Appends the beginning of a bundle of `count` copies. @return 0 or
 * PPS_ENOMEM */
int
pps_copy_bundle_begin(pps_buf_t *out, size_t count);

/** Appends a copy. @return 0 or PPS_ENOMEM */
int
pps_copy_bundle_add(pps_buf_t *out, const char *topic,
                    const pps_buf_t *packed);

/** Calls `visit` for each copy, in order.
 * @return 0, or PPS_ECORRUPT if the bundle is malformed or truncated; then
 *         `visit` has not been called */
int
pps_copy_bundle_read(const char *data, size_t size, pps_copy_bundle_fn visit,
                     void *user);

#endif
