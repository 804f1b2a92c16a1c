/**
 * @file reply_reader.h
 * @brief Reads the responses of an HTTP/1.1 server from the bytes that it
 * sends, one call at a time. Does no I/O.
 */
#ifndef PPS_TRANSPORT_REPLY_READER_H
#define PPS_TRANSPORT_REPLY_READER_H

#include "channel_ops.h"
#include "chunks.h"
#include "field_lines.h"
#include "head_lines.h"
#include "reply_framing.h"

#include <http_parser.h>
#include <stdint.h>

/** State of a response after more of its bytes. */
typedef enum {
    PPS_REPLY_MORE,      /**< it goes on */
    PPS_REPLY_WHOLE,     /**< it is complete */
    PPS_REPLY_MALFORMED, /**< as PPS_CHANNEL_MALFORMED */
    PPS_REPLY_STOPPED,   /**< the owner has stopped the reader */
} pps_reply_state_t;

/** Part of a message to which the next byte belongs. */
typedef enum {
    PPS_REPLY_IN_HEAD,
    PPS_REPLY_IN_BODY, /**< by its length, or up to the connection's end */
    PPS_REPLY_IN_CHUNKS,
    PPS_REPLY_IN_TRAILER,
} pps_reply_part_t;

/** Reader of one connection. */
typedef struct {
    http_parser parser;           /**< of heads */
    const pps_channel_ops_t *ops; /**< of the call in progress, or NULL */
    void *user;
    pps_http_reply_t reply;
    size_t before_head_bytes; /**< received before the head of the response */
    pps_reply_part_t part;
    pps_head_lines_t head;
    pps_reply_framing_t framing;
    pps_chunks_t chunks;
    pps_field_lines_t trailer;
    int is_parsed; /**< the parser has seen the end of the head */
    int has_head;
    int skipping; /**< the response is interim or of another call */
    int reusable; /**< the response allows keep-alive */
    int stopped;
    int64_t keep_alive_s; /**< of the last response; negative: not stated */
} pps_reply_reader_t;

/** Initializes a reader without a call. */
void
pps_reply_reader_init(pps_reply_reader_t *reader);

/** Releases what the reader holds. */
void
pps_reply_reader_clear(pps_reply_reader_t *reader);

/** Starts to read the response to a call. Only `on_head` and `on_body` are
 * called. */
void
pps_reply_reader_begin(pps_reply_reader_t *reader,
                       const pps_channel_ops_t *ops, void *user);

/** Reads bytes. @param size 0: the connection has ended in order
 * @param used set to the number of bytes that belong to the response */
pps_reply_state_t
pps_reply_reader_feed(pps_reply_reader_t *reader, const char *data,
                      size_t size, size_t *used);

/** Ends the call: no callback follows. May be called in a callback. */
void
pps_reply_reader_stop(pps_reply_reader_t *reader);

#endif
