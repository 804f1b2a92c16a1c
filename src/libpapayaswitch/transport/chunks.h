/**
 * @file chunks.h
 * @brief Decodes a body in chunks (RFC 9112, section 7.1), without its
 * trailer. Does no I/O and copies nothing.
 */
#ifndef PPS_TRANSPORT_CHUNKS_H
#define PPS_TRANSPORT_CHUNKS_H

#include <stddef.h>
#include <stdint.h>

/** State of a body after more of its bytes. */
typedef enum {
    PPS_CHUNKS_MORE,      /**< it goes on */
    PPS_CHUNKS_LAST,      /**< the last chunk was read; the trailer follows */
    PPS_CHUNKS_MALFORMED, /**< these are no chunks */
} pps_chunks_state_t;

/** Where the next byte belongs. */
typedef enum {
    PPS_CHUNKS_IN_SIZE,
    PPS_CHUNKS_BEHIND_SIZE,  /**< blanks before an extension */
    PPS_CHUNKS_IN_EXTENSION, /**< skipped */
    PPS_CHUNKS_BEHIND_CR,    /**< at the end of the size's line */
    PPS_CHUNKS_IN_DATA,
    PPS_CHUNKS_BEHIND_DATA,
    PPS_CHUNKS_BEHIND_DATA_CR,
} pps_chunks_position_t;

/** A body that is being read. Zero-initialize it. */
typedef struct {
    pps_chunks_position_t position;
    uint64_t left;     /**< bytes of the current chunk to come */
    size_t line_bytes; /**< of the size's line so far */
    unsigned int digits;
} pps_chunks_t;

/** A piece of the body, inside the bytes that were read. */
typedef struct {
    const char *data;
    size_t size; /**< 0: none yet */
} pps_chunk_piece_t;

/** Reads bytes up to the end of a piece, or of the last chunk.
 * @param piece set to the bytes of the body among them
 * @param used set to the number of bytes that were read */
pps_chunks_state_t
pps_chunks_read(pps_chunks_t *chunks, pps_chunk_piece_t *piece,
                const char *data, size_t size, size_t *used);

#endif
