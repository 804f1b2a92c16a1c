/** @file quality_health.c @brief Health tests of the catalog's versions. */
#include "board_state.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

/** The health test of one version, with its hold. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    char version[PPS_NAME_MAX + 1];
    uint64_t revision; /**< of the version under test */
    pps_health_t *health;
    int held;
} version_test_t;

void
pps_quality_board_clear_tests(pps_quality_board_t *board)
{
    version_test_t *test;
    version_test_t *next;

    cds_list_for_each_entry_safe (test, next, &board->tests, node) {
        pps_table_remove(&board->by_version, &test->item);
        cds_list_del(&test->node);
        pps_health_free(test->health);
        free(test);
    }
}

static version_test_t *
version_test_new(const pps_version_t *version)
{
    const pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    version_test_t *test = calloc(1, sizeof(*test));

    if (test == NULL || pps_health_new(&test->health, &options) < 0) {
        free(test);
        return NULL;
    }
    memcpy(test->version, version->name, strlen(version->name) + 1);
    test->revision = version->revision;
    return test;
}

static version_test_t *
version_test_get(pps_quality_board_t *board, const pps_version_t *version)
{
    pps_table_item_t *item = pps_table_find(&board->by_version, version->name,
                                            strlen(version->name));
    version_test_t *test;

    if (item != NULL) {
        return caa_container_of(item, version_test_t, item);
    }
    test = version_test_new(version);
    if (test != NULL) {
        pps_table_add(&board->by_version, &test->item, test->version,
                      strlen(test->version));
        cds_list_add_tail(&test->node, &board->tests);
    }
    return test;
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
restart_test(const step_t *step, version_test_t *test, uint64_t revision)
{
    const pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;
    const pps_health_verdict_t ended = {PPS_HEALTH_OK};
    pps_health_t *health;
    int error = pps_health_new(&health, &options);

    if (error < 0) {
        return error;
    }
    pps_health_free(test->health);
    test->health = health;
    test->revision = revision;
    if (test->held) {
        test->held = 0;
        step->found(test->version, &ended, step->user);
    }
    return PPS_OK;
}

static int
add_ratings(const step_t *step, version_test_t *test)
{
    char subject[PPS_HEALTH_SUBJECT_MAX + 1];

    pps_health_format_subject(subject, test->version, test->revision);
    pps_health_set_deviation(
        test->health,
        pps_evidence_deviation(&step->board->expectation, test->version));
    return pps_health_add_tally(test->health, step->board->tally, subject);
}

static void
report(const step_t *step, version_test_t *test,
       const pps_health_verdict_t *verdict)
{
    if (verdict->finding == PPS_HEALTH_OK ||
        (verdict->finding == PPS_HEALTH_HOLD_VERSION && test->held)) {
        return;
    }
    test->held |= verdict->finding == PPS_HEALTH_HOLD_VERSION;
    step->found(test->version, verdict, step->user);
}

static int
step_version(const pps_version_t *version, void *user)
{
    const step_t *step = user;
    version_test_t *test = version_test_get(step->board, version);
    pps_health_verdict_t verdict = {PPS_HEALTH_OK};

    if (test == NULL || (test->revision != version->revision &&
                         restart_test(step, test, version->revision) < 0)) {
        return 0;
    }
    if (add_ratings(step, test) < 0) {
        return 0;
    }
    pps_health_step(test->health, &verdict);
    report(step, test, &verdict);
    pps_reference_step(step->board->reference, step->board->tally,
                       test->version, pps_health_is_in_control(test->health));
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
    const version_test_t *test;

    out->count = 0;
    pthread_rwlock_rdlock(&board->lock);
    cds_list_for_each_entry (test, &board->tests, node) {
        if (test->held && out->count < PPS_QUALITY_HELD_MAX) {
            memcpy(out->names[out->count], test->version,
                   sizeof(test->version));
            out->list[out->count] = out->names[out->count];
            out->count++;
        }
    }
    pthread_rwlock_unlock(&board->lock);
}
