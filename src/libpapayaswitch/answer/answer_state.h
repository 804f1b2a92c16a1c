/** @file answer_state.h @brief State of an answer, shared by its parts. */
#ifndef PPS_ANSWER_ANSWER_STATE_H
#define PPS_ANSWER_ANSWER_STATE_H

#include "papayaswitch/answer.h"
#include "upstream/assembler.h"

#define PPS_ANSWER_TRIED_MAX 16

struct pps_answer {
    pps_answer_options_t options;
    pps_assembler_t assembler;
    const pps_version_t *version;
    double expected; /**< quality of the version, as it was chosen */
    const pps_worker_t *worker;
    pps_engine_stream_t *stream; /**< NULL: to be resumed */
    uint64_t opened_at;          /**< first token wanted of the stream */
    const char *tried_workers[PPS_ANSWER_TRIED_MAX];
    size_t tried_worker_count;
    const char *tried_versions[PPS_ANSWER_TRIED_MAX];
    size_t tried_version_count;
    pps_refusal_t last_refusal;
    int64_t retry_after_us;
    int64_t heard_us;     /**< when the stream last gave a sign of life */
    int64_t progress_us;  /**< when the last token came, or the start */
    int64_t resume_at_us; /**< without a stream: when to go on */
    int stalls;           /**< streams in a row that gave no token */
    int attempts;
    int over_share; /**< its pool refused: the workspace asks too much */
    int streaming;  /**< a worker has taken the request once */
    int whole;
};

/** Gives a worker up: it is backed off and not tried again in this round. */
void
pps_answer_give_up_worker(pps_answer_t *answer, pps_refusal_t reason,
                          int64_t retry_after_us);

/** The reason that an error of the transport stands for. */
pps_refusal_t
pps_answer_refusal_of_error(int error);

/** How long the stream may be silent: longer after each that gave nothing. */
int
pps_answer_silence_ms(const pps_answer_t *answer);

/**
 * Tries the workers of the version in turn.
 * @return 0; PPS_EUNAVAILABLE: none is left or open; PPS_ELIMIT: no attempt is
 *         left; PPS_ENOTFOUND, PPS_ECLOSED, PPS_ETIMEOUT
 */
int
pps_answer_start_on_version(pps_answer_t *answer);

#endif
