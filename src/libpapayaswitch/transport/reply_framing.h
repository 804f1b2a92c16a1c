/**
 * @file reply_framing.h
 * @brief Decides from the head of an answer where its body ends (RFC 9112,
 * section 6.3). Does no I/O.
 */
#ifndef PPS_TRANSPORT_REPLY_FRAMING_H
#define PPS_TRANSPORT_REPLY_FRAMING_H

#include "channel_ops.h"

/** Where a body ends. */
typedef enum {
    PPS_FRAMING_EMPTY,  /**< there is none */
    PPS_FRAMING_LENGTH, /**< after its length */
    PPS_FRAMING_CHUNKS, /**< after the last chunk and the trailer */
    PPS_FRAMING_END,    /**< with the connection */
} pps_framing_kind_t;

/** The framing of an answer. */
typedef struct {
    pps_framing_kind_t kind;
    uint64_t length; /**< bytes, of PPS_FRAMING_LENGTH */
} pps_reply_framing_t;

/**
 * Reads the framing. Fields that contradict each other are an error, and so is
 * each coding but chunks: what it encodes would be taken for the body.
 * @param http_minor minor version of the answer
 * @return 0 or PPS_ECORRUPT
 */
int
pps_reply_framing_read(pps_reply_framing_t *out, const pps_http_reply_t *reply,
                       unsigned int http_minor);

#endif
