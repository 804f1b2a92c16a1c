/**
 * @file copy_pack.h
 * @brief Compresses copies of topics for other hosts, by zlib.
 *
 * Hosts negotiate the compression as HTTP content coding `deflate`, which is
 * the zlib format: a host of an older build neither asks for it nor knows it,
 * and gets and sends the copy as it is.
 */
#ifndef PPS_MIRROR_COPY_PACK_H
#define PPS_MIRROR_COPY_PACK_H

#include "buf.h"

/** Name of the coding in Accept-Encoding and Content-Encoding. */
#define PPS_COPY_CODING "deflate"

/** Maximum size of a copy, not compressed: five times that of 7,400 workers,
 * the largest deployment that is planned for. */
#define PPS_COPY_BYTES_MAX (16 << 20)

/** Compresses a copy and appends it. @return 0, PPS_ELIMIT if it is larger
 * than PPS_COPY_BYTES_MAX, or PPS_ENOMEM */
int
pps_copy_pack(pps_buf_t *out, const char *data, size_t size);

/** Appends a compressed copy's content, which may be of any source.
 * @param limit maximum number of bytes to append
 * @return 0; PPS_ECORRUPT if it is truncated, malformed or followed by other
 *         bytes; PPS_ELIMIT if it is larger than `limit`; or PPS_ENOMEM */
int
pps_copy_unpack(pps_buf_t *out, const char *data, size_t size, size_t limit);

/** Returns whether a value of Accept-Encoding or Content-Encoding names the
 * coding; NULL does not. A weight of 0 excludes it. */
int
pps_copy_names_coding(const char *value);

#endif
