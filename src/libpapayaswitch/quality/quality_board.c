/** @file quality_board.c @brief Tally, answers and prices under one lock. */
#include "board_state.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

static void
estimate(const pps_quality_source_t *self, pps_quality_t *out,
         const char *workspace, const char *kind, const pps_version_t *version)
{
    pps_quality_board_t *board = (pps_quality_board_t *)self;

    pthread_rwlock_rdlock(&board->lock);
    board->evidence.source.estimate(&board->evidence.source, out, workspace,
                                    pps_quality_kind(kind), version);
    pthread_rwlock_unlock(&board->lock);
}

int
pps_quality_board_new(pps_quality_board_t **out, const char *host,
                      uint64_t incarnation)
{
    pps_quality_board_t *board = calloc(1, sizeof(*board));
    int error;

    if (board == NULL) {
        return pps_error_set(PPS_ENOMEM, "quality: out of memory");
    }
    error = pps_tally_new(&board->tally, host, incarnation);
    if (error == 0) {
        error = pps_reference_new(&board->reference);
    }
    if (error < 0) {
        pps_tally_free(board->tally);
        free(board);
        return error;
    }
    board->source.estimate = estimate;
    pps_evidence_init(&board->evidence, board->tally);
    pps_evidence_init(&board->expectation,
                      pps_reference_tally(board->reference));
    pps_answer_memory_init(&board->answers);
    pps_price_book_init(&board->prices);
    CDS_INIT_LIST_HEAD(&board->tests);
    pthread_rwlock_init(&board->lock, NULL);
    *out = board;
    return PPS_OK;
}

void
pps_quality_board_free(pps_quality_board_t *board)
{
    if (board == NULL) {
        return;
    }
    pps_quality_board_clear_tests(board);
    pps_answer_memory_clear(&board->answers);
    pps_price_book_clear(&board->prices);
    pps_reference_free(board->reference);
    pps_tally_free(board->tally);
    pthread_rwlock_destroy(&board->lock);
    free(board);
}

static double
expected_rating(const pps_quality_board_t *board,
                const pps_quality_answer_t *answer)
{
    const pps_quality_source_t *source = &board->expectation.source;
    pps_quality_t quality;

    source->estimate(source, &quality, answer->workspace,
                     pps_quality_kind(answer->kind), answer->version);
    return quality.mean < 0 ? 0 : quality.mean > 1 ? 1 : quality.mean;
}

int
pps_quality_board_add_answer(pps_quality_board_t *board,
                             const pps_quality_answer_t *answer)
{
    int error;

    pthread_rwlock_wrlock(&board->lock);
    error = pps_answer_memory_add(&board->answers, answer,
                                  expected_rating(board, answer));
    if (error == 0) {
        error = pps_price_book_add_answer(&board->prices, answer);
    }
    pthread_rwlock_unlock(&board->lock);
    return error;
}

static int
count_rating(pps_quality_board_t *board, const pps_kept_answer_t *answer,
             double rating)
{
    const pps_rating_t rated = {.workspace = answer->workspace,
                                .kind = answer->kind,
                                .version = answer->version,
                                .rating = rating,
                                .judgement = -1};
    char subject[PPS_HEALTH_SUBJECT_MAX + 1];
    int error = pps_evidence_count_rating(board->tally, &rated);

    if (error == 0) {
        pps_health_format_subject(subject, answer->version, answer->revision);
        error =
            pps_health_count_rating(board->tally, subject, answer->workspace,
                                    answer->worker, rating, answer->expected);
    }
    return error;
}

int
pps_quality_board_add_rating(pps_quality_board_t *board,
                             const char *request_id, double rating)
{
    pps_kept_answer_t *answer;
    int error = PPS_ENOTFOUND;

    pthread_rwlock_wrlock(&board->lock);
    answer = pps_answer_memory_take(&board->answers, request_id);
    if (answer != NULL) {
        error = count_rating(board, answer, rating);
    }
    pthread_rwlock_unlock(&board->lock);
    free(answer);
    return error;
}

int
pps_quality_board_encode(pps_quality_board_t *board, void **out, size_t *size)
{
    uint64_t change;
    int error = PPS_OK;

    *out = NULL;
    *size = 0;
    pthread_rwlock_wrlock(&board->lock);
    change = pps_tally_last_change(board->tally);
    if (change != board->last_encoded_change) {
        error = pps_tally_encode(board->tally, out, size,
                                 board->last_encoded_change);
        board->last_encoded_change =
            error == 0 ? change : board->last_encoded_change;
    }
    pthread_rwlock_unlock(&board->lock);
    return error;
}

int
pps_quality_board_encode_all(pps_quality_board_t *board, void **out,
                             size_t *size)
{
    int error;

    pthread_rwlock_rdlock(&board->lock);
    error = pps_tally_encode(board->tally, out, size, 0);
    pthread_rwlock_unlock(&board->lock);
    return error;
}

int
pps_quality_board_merge(pps_quality_board_t *board, const void *data,
                        size_t size)
{
    int error;

    pthread_rwlock_wrlock(&board->lock);
    error = pps_tally_merge(board->tally, data, size);
    pthread_rwlock_unlock(&board->lock);
    return error;
}

const pps_quality_source_t *
pps_quality_board_source(const pps_quality_board_t *board)
{
    return &board->source;
}
