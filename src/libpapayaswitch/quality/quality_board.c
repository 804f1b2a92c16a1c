/** @file quality_board.c @brief Tally, estimates and health under one lock. */
#include "papayaswitch/quality_board.h"

#include "answer_memory.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/evidence.h"
#include "papayaswitch/tally.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

/** The health test of one version. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    char version[PPS_NAME_MAX + 1];
    pps_health_t *health;
    int held;
} watch_t;

struct pps_quality_board {
    pps_quality_source_t source; /* first: the choice gets its address */
    pthread_rwlock_t lock;
    pps_tally_t *tally;
    pps_evidence_t evidence;
    pps_answer_memory_t answers;
    uint64_t encoded; /* last change that was told to the others */
    pps_table_t by_version;
    struct cds_list_head watches;
};

static void
estimate(const pps_quality_source_t *self, pps_quality_t *out,
         const char *workspace, const char *kind, const pps_version_t *version)
{
    pps_quality_board_t *board = (pps_quality_board_t *)self;

    pthread_rwlock_rdlock(&board->lock);
    board->evidence.source.estimate(&board->evidence.source, out, workspace,
                                    kind[0] != '\0' ? kind : "-", version);
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
    if (error < 0) {
        free(board);
        return error;
    }
    board->source.estimate = estimate;
    pps_evidence_init(&board->evidence, board->tally);
    pps_answer_memory_init(&board->answers);
    CDS_INIT_LIST_HEAD(&board->watches);
    pthread_rwlock_init(&board->lock, NULL);
    *out = board;
    return PPS_OK;
}

static void
free_watches(pps_quality_board_t *board)
{
    watch_t *watch;
    watch_t *next;

    cds_list_for_each_entry_safe (watch, next, &board->watches, node) {
        pps_table_remove(&board->by_version, &watch->item);
        pps_health_free(watch->health);
        free(watch);
    }
}

void
pps_quality_board_free(pps_quality_board_t *board)
{
    if (board == NULL) {
        return;
    }
    free_watches(board);
    pps_answer_memory_clear(&board->answers);
    pps_tally_free(board->tally);
    pthread_rwlock_destroy(&board->lock);
    free(board);
}

int
pps_quality_board_answered(pps_quality_board_t *board,
                           const pps_quality_answer_t *answer)
{
    int error;

    pthread_rwlock_wrlock(&board->lock);
    error = pps_answer_memory_add(&board->answers, answer);
    pthread_rwlock_unlock(&board->lock);
    return error;
}

static int
count_rating(pps_quality_board_t *board, const pps_remembered_t *answer,
             double rating)
{
    const pps_rating_t rated = {.workspace = answer->workspace,
                                .kind = answer->kind,
                                .version = answer->version,
                                .rating = rating,
                                .judgement = -1};
    int error = pps_evidence_rate(board->tally, &rated);

    if (error == 0) {
        error =
            pps_health_rate(board->tally, answer->version, answer->workspace,
                            answer->worker, rating, answer->expected);
    }
    return error;
}

int
pps_quality_board_rated(pps_quality_board_t *board, const char *request_id,
                        double rating)
{
    pps_remembered_t *answer;
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
    change = pps_tally_change(board->tally);
    if (change != board->encoded) {
        error = pps_tally_encode(board->tally, out, size, board->encoded);
        board->encoded = error == 0 ? change : board->encoded;
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

static watch_t *
watch_new(const char *version)
{
    const pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    watch_t *watch = calloc(1, sizeof(*watch));

    if (watch == NULL || pps_health_new(&watch->health, &options) < 0) {
        free(watch);
        return NULL;
    }
    memcpy(watch->version, version, strlen(version) + 1);
    return watch;
}

static watch_t *
watch_of(pps_quality_board_t *board, const char *version)
{
    pps_table_item_t *item =
        pps_table_find(&board->by_version, version, strlen(version));
    watch_t *watch;

    if (item != NULL) {
        return caa_container_of(item, watch_t, item);
    }
    watch = watch_new(version);
    if (watch != NULL) {
        pps_table_add(&board->by_version, &watch->item, watch->version,
                      strlen(watch->version));
        cds_list_add_tail(&watch->node, &board->watches);
    }
    return watch;
}

typedef struct {
    pps_quality_board_t *board;
    void (*found)(const char *version, const pps_health_verdict_t *verdict,
                  void *user);
    void *user;
} step_t;

static int
step_version(const pps_version_t *version, void *user)
{
    const step_t *step = user;
    watch_t *watch = watch_of(step->board, version->name);
    pps_health_verdict_t verdict = {PPS_HEALTH_FINE};

    if (watch == NULL || pps_health_observe(watch->health, step->board->tally,
                                            version->name) < 0) {
        return 0;
    }
    pps_health_step(watch->health, &verdict);
    if (verdict.finding == PPS_HEALTH_FINE ||
        (verdict.finding == PPS_HEALTH_HOLD_VERSION && watch->held)) {
        return 0;
    }
    watch->held |= verdict.finding == PPS_HEALTH_HOLD_VERSION;
    step->found(version->name, &verdict, step->user);
    return 0;
}

void
pps_quality_board_step(pps_quality_board_t *board,
                       const pps_catalog_t *catalog,
                       void (*found)(const char *version,
                                     const pps_health_verdict_t *verdict,
                                     void *user),
                       void *user)
{
    step_t step = {board, found, user};

    pthread_rwlock_wrlock(&board->lock);
    pps_catalog_version_foreach(catalog, step_version, &step);
    pthread_rwlock_unlock(&board->lock);
}

void
pps_quality_board_held(pps_quality_board_t *board, pps_quality_held_t *out)
{
    const watch_t *watch;

    out->count = 0;
    pthread_rwlock_rdlock(&board->lock);
    cds_list_for_each_entry (watch, &board->watches, node) {
        if (watch->held && out->count < PPS_QUALITY_HELD_MAX) {
            memcpy(out->names[out->count], watch->version,
                   sizeof(watch->version));
            out->list[out->count] = out->names[out->count];
            out->count++;
        }
    }
    pthread_rwlock_unlock(&board->lock);
}

const pps_quality_source_t *
pps_quality_board_source(const pps_quality_board_t *board)
{
    return &board->source;
}
