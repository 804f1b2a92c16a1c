/** @file journal_touch.c @brief Rate-limits and batches touches. */
#include "journal_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define BATCH_TOUCHES_MAX 1000

/** Touches to be written in one record. */
typedef struct {
    pps_touch_t touches[BATCH_TOUCHES_MAX];
    pps_session_use_t *uses[BATCH_TOUCHES_MAX];
    size_t count;
} batch_t;

static pps_session_use_t *
use_intern(pps_journal_t *journal, const char *workspace, const char *session)
{
    char name[PPS_FOLD_NAME_MAX];
    size_t size = pps_fold_build_name(name, workspace, session);
    pps_table_item_t *item = pps_table_find(&journal->uses, name, size);
    pps_session_use_t *use;

    if (item != NULL) {
        return caa_container_of(item, pps_session_use_t, item);
    }
    use = calloc(1, sizeof(*use) + size);
    if (use == NULL) {
        return NULL;
    }
    memcpy(use->name, name, size);
    use->name_size = size;
    strncpy(use->touch.workspace, workspace, PPS_NAME_MAX);
    strncpy(use->touch.session, session, PPS_WORK_KEY_MAX);
    pps_table_add(&journal->uses, &use->item, use->name, size);
    cds_list_add_tail(&use->node, &journal->use_list);
    return use;
}

static void
use_remove(pps_journal_t *journal, pps_session_use_t *use)
{
    pps_table_remove(&journal->uses, &use->item);
    cds_list_del(&use->node);
    free(use);
}

static int
queue_touch(pps_journal_t *journal, const char *workspace, const char *session)
{
    const pps_fold_pin_t *pin =
        pps_fold_pin_find(journal->fold, workspace, session);
    int64_t now_us = pps_clock_now_us();
    pps_session_use_t *use;

    if (pin == NULL) {
        return pps_error_set(PPS_ENOTFOUND, "the session has no pin");
    }
    use = use_intern(journal, workspace, session);
    if (use == NULL) {
        return pps_error_set(PPS_ENOMEM, "journal: out of memory");
    }
    use->idle_us = (int64_t)pin->idle_s * PPS_US_PER_S;
    if (use->sent_us == 0 ||
        now_us - use->sent_us >= use->idle_us / PPS_TOUCH_DIVISOR) {
        use->queued = 1;
    }
    return PPS_OK;
}

int
pps_journal_touch(pps_journal_t *journal, const char *workspace,
                  const char *session)
{
    int error;

    pthread_mutex_lock(&journal->mutex);
    error = queue_touch(journal, workspace, session);
    pthread_mutex_unlock(&journal->mutex);
    return error;
}

static void
write_batch(pps_journal_t *journal, batch_t *batch, int64_t now_us)
{
    void *data;
    size_t size;

    if (batch->count == 0 ||
        pps_touch_encode(&data, &size, batch->touches, batch->count) < 0) {
        return;
    }
    if (pps_appender_submit(journal->appender, data, size, INT64_MAX, NULL,
                            NULL) < 0) {
        free(data);
        return;
    }
    for (size_t i = 0; i < batch->count; i++) {
        batch->uses[i]->queued = 0;
        batch->uses[i]->sent_us = now_us;
    }
    batch->count = 0;
}

void
pps_uses_flush(pps_journal_t *journal, int64_t now_us)
{
    batch_t *batch = calloc(1, sizeof(*batch));
    pps_session_use_t *use;
    pps_session_use_t *following;

    if (batch == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (use, following, &journal->use_list, node) {
        if (use->queued && batch->count < BATCH_TOUCHES_MAX) {
            batch->touches[batch->count] = use->touch;
            batch->uses[batch->count] = use;
            batch->count++;
        }
        else if (!use->queued && now_us - use->sent_us > use->idle_us) {
            use_remove(journal, use);
        }
    }
    write_batch(journal, batch, now_us);
    free(batch);
}

void
pps_uses_clear(pps_journal_t *journal)
{
    pps_session_use_t *use;
    pps_session_use_t *following;

    cds_list_for_each_entry_safe (use, following, &journal->use_list, node) {
        use_remove(journal, use);
    }
}
