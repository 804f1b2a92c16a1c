/**
 * @file request_reader.h
 * @brief Reads the requests of one caller's connection from its bytes, one at
 * a time. Does no I/O.
 */
#ifndef PPS_TRANSPORT_REQUEST_READER_H
#define PPS_TRANSPORT_REQUEST_READER_H

#include "chunks.h"
#include "field_lines.h"
#include "head_lines.h"
#include "http_request.h"

#include <http_parser.h>

/** State of a request after more of its bytes. */
typedef enum {
    PPS_REQUEST_MORE,     /**< it goes on */
    PPS_REQUEST_WHOLE,    /**< it is complete */
    PPS_REQUEST_REJECTED, /**< it can't be served; see `error_status` */
} pps_request_state_t;

/** Part of a request to which the next byte belongs. */
typedef enum {
    PPS_REQUEST_IN_HEAD,
    PPS_REQUEST_IN_BODY, /**< by its length */
    PPS_REQUEST_IN_CHUNKS,
    PPS_REQUEST_IN_TRAILER,
} pps_request_part_t;

/** Reader of one connection. */
typedef struct {
    http_parser parser; /**< of heads */
    const pps_http_limits_t *limits;
    pps_http_request_t request; /**< valid until the next one begins */
    pps_request_part_t part;
    pps_head_lines_t head;
    uint64_t body_left; /**< bytes to come of a body with a length */
    pps_chunks_t chunks;
    pps_field_lines_t trailer;
    int is_parsed;        /**< the parser has seen the end of the head */
    int discards_body;    /**< the body is read, but not kept */
    size_t header_bytes;  /**< of the head */
    int expects_continue; /**< the head asks for an interim answer; the owner
                               may clear it */
    int keep_alive;       /**< the head allows further requests */
    unsigned int error_status; /**< HTTP status of a rejected request */
} pps_request_reader_t;

/** Initializes a reader. @param limits must outlive it */
void
pps_request_reader_init(pps_request_reader_t *reader,
                        const pps_http_limits_t *limits);

/** Forgets the last request, and frees its large buffers. Must be called
 * before each request. */
void
pps_request_reader_begin(pps_request_reader_t *reader);

/** Reads bytes of a request that is not complete.
 * @param used set to the number of bytes that belong to the request */
pps_request_state_t
pps_request_reader_feed(pps_request_reader_t *reader, const char *data,
                        size_t size, size_t *used);

/** Returns whether the head of a request that goes on is complete. */
int
pps_request_reader_has_head(const pps_request_reader_t *reader);

/** Returns the bytes of the body that are still to come, or UINT64_MAX if its
 * head does not tell. */
uint64_t
pps_request_reader_body_left(const pps_request_reader_t *reader);

/** Frees what is kept of the body, and keeps nothing of it from now on. */
void
pps_request_reader_discard_body(pps_request_reader_t *reader);

/** Frees what the reader holds. */
void
pps_request_reader_clear(pps_request_reader_t *reader);

#endif
