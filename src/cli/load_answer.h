/**
 * @file load_answer.h
 * @brief What came back for one attempt, and what it amounts to.
 */
#ifndef PPS_CLI_LOAD_ANSWER_H
#define PPS_CLI_LOAD_ANSWER_H

#include "buf.h"
#include "load_request.h"

#include <jansson.h>

/** What became of a request. */
typedef enum {
    LOAD_WHOLE,       /**< the whole answer came */
    LOAD_REFUSED,     /**< an error that says it was not run */
    LOAD_ERROR,       /**< any other explicit error */
    LOAD_CUT,         /**< broke off after the answer had begun */
    LOAD_NO_ANSWER,   /**< the connection ended without any answer */
    LOAD_WRONG,       /**< not the answer to this request */
    LOAD_UNREACHABLE, /**< no connection came about */
    LOAD_VERDICT_COUNT
} load_verdict_t;

/** The stable name of a verdict. */
const char *
load_verdict_name(load_verdict_t verdict);

/** An attempt's answer while it is read. */
typedef struct {
    long status;
    int64_t first_us;    /**< when the first text came; 0: none */
    char request_id[64]; /**< of the header; "" when missing */
    char version[64];    /**< of the header; "" when missing */
    int retry_after_s;   /**< of the header; -1 when missing */
    int is_stream;
    pps_buf_t raw;  /**< bytes not taken apart yet; the body if no stream */
    pps_buf_t text; /**< generated text */
    int64_t usage_tokens; /**< -1 until it is known */
    int64_t runs;         /**< how often the service ran it; 0: not said */
    int finished;         /**< a finish reason of `stop` came */
    int done;             /**< `[DONE]` came */
    int foreign;          /**< a part names another request */
    json_t *error;        /**< the error object that came, or NULL */
} load_answer_t;

/** Starts an empty answer. */
void
load_answer_init(load_answer_t *answer);

/** Frees what it holds. */
void
load_answer_clear(load_answer_t *answer);

/** Takes a header line. */
void
load_answer_header(load_answer_t *answer, const char *line, size_t size);

/** Takes a piece of the body. */
void
load_answer_body(load_answer_t *answer, const load_request_t *request,
                 const char *data, size_t size);

/** Judges the answer once the transfer has ended in good order. */
load_verdict_t
load_answer_judge(load_answer_t *answer, const load_request_t *request);

/** The error's code, or "". */
const char *
load_answer_code(const load_answer_t *answer);

/** Whether the error says that the request was not run. */
int
load_answer_not_run(const load_answer_t *answer);

#endif
