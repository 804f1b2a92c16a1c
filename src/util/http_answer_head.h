/**
 * @file http_answer_head.h
 * @brief Checks the head of an answer line by line, as libcurl hands it over.
 * Does no I/O.
 */
#ifndef PPS_UTIL_HTTP_ANSWER_HEAD_H
#define PPS_UTIL_HTTP_ANSWER_HEAD_H

#include "head_lines.h"

/** The heads of an answer, interim ones included. Zero-initialize it. */
typedef struct {
    pps_head_lines_t lines;
    int is_open;                 /**< a head has begun and not ended */
    unsigned int framing_fields; /**< that say where the body ends */
} pps_http_answer_head_t;

/** Checks the next line by the grammar, and that one field at most says where
 * the body ends, by a length or by chunks.
 * @param line with its line end, without a NUL byte
 * @return 0 or PPS_ECORRUPT */
int
pps_http_answer_head_check(pps_http_answer_head_t *head, const char *line,
                           size_t size);

#endif
