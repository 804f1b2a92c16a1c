/** @file quality_health.c @brief Health tests of the catalog's versions. */
#include "board_state.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

/** The health test of one version. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    char version[PPS_NAME_MAX + 1];
    uint64_t revision; /**< of the version under test */
    pps_health_t *health;
    int held;
} watch_t;

void
pps_quality_board_clear_watches(pps_quality_board_t *board)
{
    watch_t *watch;
    watch_t *next;

    cds_list_for_each_entry_safe (watch, next, &board->watches, node) {
        pps_table_remove(&board->by_version, &watch->item);
        cds_list_del(&watch->node);
        pps_health_free(watch->health);
        free(watch);
    }
}

static watch_t *
watch_new(const pps_version_t *version)
{
    const pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    watch_t *watch = calloc(1, sizeof(*watch));

    if (watch == NULL || pps_health_new(&watch->health, &options) < 0) {
        free(watch);
        return NULL;
    }
    memcpy(watch->version, version->name, strlen(version->name) + 1);
    watch->revision = version->revision;
    return watch;
}

static watch_t *
watch_of(pps_quality_board_t *board, const pps_version_t *version)
{
    pps_table_item_t *item = pps_table_find(&board->by_version, version->name,
                                            strlen(version->name));
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

/** Arguments of a step. */
typedef struct {
    pps_quality_board_t *board;
    void (*found)(const char *version, const pps_health_verdict_t *verdict,
                  void *user);
    void *user;
} step_t;

/** Restarts the test of a version that a note changed, and ends its hold. */
static int
restart_test(const step_t *step, watch_t *watch, uint64_t revision)
{
    const pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    const pps_health_verdict_t ended = {PPS_HEALTH_OK};
    pps_health_t *health;
    int error = pps_health_new(&health, &options);

    if (error < 0) {
        return error;
    }
    pps_health_free(watch->health);
    watch->health = health;
    watch->revision = revision;
    if (watch->held) {
        watch->held = 0;
        step->found(watch->version, &ended, step->user);
    }
    return PPS_OK;
}

static int
add_ratings(const step_t *step, watch_t *watch)
{
    char subject[PPS_HEALTH_SUBJECT_MAX + 1];

    pps_health_format_subject(subject, watch->version, watch->revision);
    pps_health_set_deviation(
        watch->health,
        pps_evidence_deviation(&step->board->expectation, watch->version));
    return pps_health_add_tally(watch->health, step->board->tally, subject);
}

static void
report(const step_t *step, watch_t *watch, const pps_health_verdict_t *verdict)
{
    if (verdict->finding == PPS_HEALTH_OK ||
        (verdict->finding == PPS_HEALTH_HOLD_VERSION && watch->held)) {
        return;
    }
    watch->held |= verdict->finding == PPS_HEALTH_HOLD_VERSION;
    step->found(watch->version, verdict, step->user);
}

static int
step_version(const pps_version_t *version, void *user)
{
    const step_t *step = user;
    watch_t *watch = watch_of(step->board, version);
    pps_health_verdict_t verdict = {PPS_HEALTH_OK};

    if (watch == NULL || (watch->revision != version->revision &&
                          restart_test(step, watch, version->revision) < 0)) {
        return 0;
    }
    if (add_ratings(step, watch) < 0) {
        return 0;
    }
    pps_health_step(watch->health, &verdict);
    report(step, watch, &verdict);
    pps_reference_step(step->board->reference, step->board->tally,
                       watch->version,
                       pps_health_is_in_control(watch->health));
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
pps_quality_board_copy_held(pps_quality_board_t *board,
                            pps_quality_held_t *out)
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
