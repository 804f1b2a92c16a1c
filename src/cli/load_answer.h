/**
 * @file load_answer.h
 * @brief Response to one attempt and its classification.
 */
#ifndef PPS_CLI_LOAD_ANSWER_H
#define PPS_CLI_LOAD_ANSWER_H

#include "buf.h"
#include "load_request.h"

#include <jansson.h>

/** Result of an attempt. */
typedef enum {
    LOAD_WHOLE,       /**< complete response */
    LOAD_REFUSED,     /**< error stating that the request was not run */
    LOAD_ERROR,       /**< other error response */
    LOAD_CUT,         /**< incomplete response */
    LOAD_NO_ANSWER,   /**< transfer failed before a status arrived */
    LOAD_WRONG,       /**< unexpected id, path or text; error with `[DONE]` */
    LOAD_UNREACHABLE, /**< connection could not be opened */
    LOAD_VERDICT_COUNT
} load_verdict_t;

/** Returns the stable name of a verdict. */
const char *
load_verdict_name(load_verdict_t verdict);

/** Response to an attempt, parsed as it arrives. */
typedef struct {
    long status;
    int64_t first_text_us; /**< monotonic time of the first text; 0: none */
    char request_id[64];   /**< from the header, or "" */
    char version[64];      /**< from the header, or "" */
    int retry_after_s;     /**< from the header, or -1 */
    int is_interim; /**< the head that is being read is an interim one */
    int has_head;   /**< the final head is complete */
    int is_stream;
    pps_buf_t raw;  /**< unparsed bytes; without a stream, the entire body */
    pps_buf_t text; /**< generated text */
    int64_t usage_tokens; /**< -1 if unknown */
    int64_t run_count;  /**< runs that the service reports; 0: not reported */
    int finished;       /**< finish reason `stop` or a service path received */
    int has_done_event; /**< `[DONE]` received */
    int is_mismatched;  /**< id or path of another request received */
    json_t *error;      /**< received error object, or NULL */
} load_answer_t;

/** Initializes an empty response. */
void
load_answer_init(load_answer_t *answer);

/** Frees the contents. */
void
load_answer_clear(load_answer_t *answer);

/** Parses a line of a head. Lines that follow the final head, which are those
 * of a trailer, are ignored. */
void
load_answer_add_header(load_answer_t *answer, const char *line, size_t size);

/** Appends a part of the body; parses the complete lines of a stream. */
void
load_answer_add_body(load_answer_t *answer, const load_request_t *request,
                     const char *data, size_t size);

/** Classifies the response of a transfer that ended without an error. Parses
 * the body first if it is not a stream. */
load_verdict_t
load_answer_classify(load_answer_t *answer, const load_request_t *request);

/** Returns the error code, or "". */
const char *
load_answer_error_code(const load_answer_t *answer);

/** Returns whether the error states that the request was not run. */
int
load_answer_is_refusal(const load_answer_t *answer);

#endif
