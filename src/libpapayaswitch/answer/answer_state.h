/** @file answer_state.h @brief State of an answer for answer*.c. */
#ifndef PPS_ANSWER_ANSWER_STATE_H
#define PPS_ANSWER_ANSWER_STATE_H

#include "papayaswitch/answer.h"
#include "upstream/assembler.h"

#define PPS_ANSWER_TRIED_MAX 16

struct pps_answer {
    pps_answer_options_t options;
    pps_assembler_t assembler;
    const pps_version_t *version;
    const pps_worker_t *worker;
    pps_engine_stream_t *stream; /**< NULL: none is open */
    uint64_t stream_start;       /**< index of the stream's first token */
    const char *tried_workers[PPS_ANSWER_TRIED_MAX];
    size_t tried_worker_count;
    const char *tried_versions[PPS_ANSWER_TRIED_MAX];
    size_t tried_version_count;
    pps_refusal_t last_refusal;
    int64_t retry_after_us;
    int64_t last_event_us; /**< when the stream last had an event, or opened */
    int64_t last_token_us; /**< when a token was last emitted, or the start */
    int64_t resume_at_us;  /**< if no stream is open: when to open the next */
    int empty_streams;     /**< consecutive streams without a new token */
    int attempts;
    int may_have_run; /**< an attempt that opened no stream may have arrived */
    int over_share;   /**< enter_pool: over its share, or pool full */
    int accepted;     /**< a worker has opened a stream for the request */
    int complete;
};

/** Excludes the current worker from this round and starts its back-off.
 * @param retry_after_us back-off that the worker requested; 0: default */
void
pps_answer_exclude_worker(pps_answer_t *answer, pps_refusal_t reason,
                          int64_t retry_after_us);

/** Returns the reason that is recorded for an error of a stream. */
pps_refusal_t
pps_answer_refusal_of_error(int error);

/** Returns the silence timeout; each empty stream doubles it, up to the
 * answer timeout. */
int
pps_answer_silence_timeout_ms(const pps_answer_t *answer);

/**
 * Tries the workers of the version in turn until one opens a stream.
 * @return 0; PPS_EUNAVAILABLE: all were tried or are in a back-off;
 *         PPS_ELIMIT: no attempt is left; PPS_ENOTFOUND: the upstream has no
 *         worker; PPS_ECLOSED: may_start refused; PPS_ETIMEOUT: the deadline
 */
int
pps_answer_start_on_version(pps_answer_t *answer);

#endif
