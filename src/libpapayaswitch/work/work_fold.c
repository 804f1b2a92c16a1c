/** @file work_fold.c @brief Folds records of the stream `work` in order. */
#include "papayaswitch/work_fold.h"

#include "clock.h"
#include "fold_state.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

/** Log time between two removals of expired pins and hosts. */
#define SWEEP_INTERVAL_US (60 * PPS_US_PER_S)

int
pps_work_fold_new(pps_work_fold_t **out,
                  const pps_work_fold_options_t *options)
{
    pps_work_fold_options_t defaults = PPS_WORK_FOLD_OPTIONS_INIT;
    pps_work_fold_t *fold;

    if (options == NULL) {
        options = &defaults;
    }
    if (options->version != PPS_WORK_FOLD_OPTIONS_VERSION) {
        return pps_error_set(PPS_EINVALID,
                             "work fold options: unsupported version %u",
                             options->version);
    }
    fold = calloc(1, sizeof(*fold));
    if (fold == NULL) {
        return pps_error_set(PPS_ENOMEM, "work fold: out of memory");
    }
    fold->retention_us = (int64_t)options->retention_s * PPS_US_PER_S;
    CDS_INIT_LIST_HEAD(&fold->host_list);
    CDS_INIT_LIST_HEAD(&fold->claim_list);
    CDS_INIT_LIST_HEAD(&fold->pin_list);
    *out = fold;
    return PPS_OK;
}

void
pps_work_fold_free(pps_work_fold_t *fold)
{
    pps_fold_claim_t *claim;
    pps_fold_claim_t *next_claim;
    pps_fold_pin_t *pin;
    pps_fold_pin_t *next_pin;
    pps_fold_host_t *host;
    pps_fold_host_t *next_host;

    if (fold == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (claim, next_claim, &fold->claim_list, node) {
        pps_fold_claim_remove(fold, claim);
    }
    cds_list_for_each_entry_safe (pin, next_pin, &fold->pin_list, node) {
        pps_fold_pin_remove(fold, pin);
    }
    cds_list_for_each_entry_safe (host, next_host, &fold->host_list, node) {
        pps_fold_host_remove(fold, host);
    }
    free(fold);
}

static void
sweep(pps_work_fold_t *fold)
{
    pps_fold_pin_t *pin;
    pps_fold_pin_t *next_pin;
    pps_fold_host_t *host;
    pps_fold_host_t *next_host;

    if (fold->log_time_us - fold->last_sweep_us < SWEEP_INTERVAL_US) {
        return;
    }
    fold->last_sweep_us = fold->log_time_us;
    cds_list_for_each_entry_safe (pin, next_pin, &fold->pin_list, node) {
        if (pps_fold_pin_is_expired(fold, pin)) {
            pps_fold_pin_remove(fold, pin);
        }
    }
    cds_list_for_each_entry_safe (host, next_host, &fold->host_list, node) {
        if (pps_fold_host_is_expired(fold, host)) {
            pps_fold_host_remove(fold, host);
        }
    }
}

static int
apply_claim(pps_work_fold_t *fold, const pps_log_entry_t *entry,
            const pps_record_t *record, pps_work_event_t *event)
{
    int error = pps_claim_decode(&event->claim, record->payload, record->size);

    if (error < 0) {
        return error;
    }
    event->kind = PPS_WORK_CLAIM;
    return pps_fold_claim_apply(fold, entry->offset, &event->claim,
                                &event->won);
}

static int
apply_outcome(pps_work_fold_t *fold, const pps_record_t *record,
              pps_work_event_t *event)
{
    pps_outcome_t outcome;
    int error = pps_outcome_decode(&outcome, record->payload, record->size);

    if (error < 0) {
        return error;
    }
    event->kind = PPS_WORK_OUTCOME;
    return pps_fold_outcome_apply(fold, &outcome);
}

static int
apply_pin(pps_work_fold_t *fold, const pps_log_entry_t *entry,
          const pps_record_t *record, pps_work_event_t *event)
{
    int error = pps_pin_decode(&event->pin, record->payload, record->size);

    if (error < 0) {
        return error;
    }
    event->kind = PPS_WORK_PIN;
    return pps_fold_pin_apply(fold, entry->offset, &event->pin);
}

static void
visit_touch(const pps_touch_t *touch, void *user)
{
    pps_fold_touch_apply(user, touch);
}

static int
apply_checkpoint(pps_work_fold_t *fold, const pps_record_t *record,
                 pps_work_event_t *event)
{
    pps_checkpoint_progress_t *progress = &fold->progress;
    pps_fold_part_t part;
    int error = pps_fold_part_decode(&part, record->payload, record->size);

    if (error < 0) {
        return error;
    }
    if (part.index == 0) {
        *progress = (pps_checkpoint_progress_t){part.next, part.digest, 0};
    }
    if (part.next != progress->next || part.digest != progress->digest ||
        part.index != progress->parts) {
        return PPS_OK;
    }
    progress->parts++;
    if (progress->parts == part.count && part.next >= fold->checkpoint_next) {
        fold->checkpoint_next = part.next;
        fold->checkpoint_time_us = part.time_us;
        event->kind = PPS_WORK_CHECKPOINT;
    }
    return PPS_OK;
}

static int
apply_record(pps_work_fold_t *fold, const pps_log_entry_t *entry,
             pps_work_event_t *event)
{
    pps_record_t record;
    int error = pps_record_decode(&record, entry->data, entry->size);

    if (error < 0) {
        return error;
    }
    switch (record.kind) {
    case PPS_RECORD_CLAIM:
        return apply_claim(fold, entry, &record, event);
    case PPS_RECORD_OUTCOME:
        return apply_outcome(fold, &record, event);
    case PPS_RECORD_PIN:
        return apply_pin(fold, entry, &record, event);
    case PPS_RECORD_TOUCH:
        event->kind = PPS_WORK_TOUCH;
        return pps_touch_decode(record.payload, record.size, visit_touch,
                                fold);
    case PPS_RECORD_WORK_CHECKPOINT:
        return apply_checkpoint(fold, &record, event);
    default:
        return PPS_ECORRUPT;
    }
}

int
pps_work_fold_apply(pps_work_fold_t *fold, const pps_log_entry_t *entry,
                    pps_work_event_t *event)
{
    pps_work_event_t unused;
    int error;

    if (entry->offset != fold->next) {
        return pps_error_set(
            PPS_EINVALID, "work record at offset %llu, expected %llu",
            (unsigned long long)entry->offset, (unsigned long long)fold->next);
    }
    if (event == NULL) {
        event = &unused;
    }
    event->kind = PPS_WORK_NONE;
    event->won = 0;
    if (entry->time_us > fold->log_time_us) {
        fold->log_time_us = entry->time_us;
    }
    pps_fold_claims_expire(fold);
    sweep(fold);
    error = apply_record(fold, entry, event);
    if (error == PPS_ENOMEM) {
        return pps_error_set(error, "work fold: out of memory");
    }
    if (error < 0) {
        fold->skipped++;
        event->kind = PPS_WORK_NONE;
    }
    fold->next++;
    return PPS_OK;
}

uint64_t
pps_work_fold_next(const pps_work_fold_t *fold)
{
    return fold->next;
}

int64_t
pps_work_fold_log_time(const pps_work_fold_t *fold)
{
    return fold->log_time_us;
}

uint64_t
pps_work_fold_skipped(const pps_work_fold_t *fold)
{
    return fold->skipped;
}

uint64_t
pps_work_fold_checkpoint_offset(const pps_work_fold_t *fold, int64_t *time_us)
{
    if (time_us != NULL) {
        *time_us = fold->checkpoint_time_us;
    }
    return fold->checkpoint_next;
}

size_t
pps_work_fold_claim_count(const pps_work_fold_t *fold)
{
    return pps_table_count(&fold->claims);
}

size_t
pps_work_fold_pin_count(const pps_work_fold_t *fold)
{
    return pps_table_count(&fold->pins);
}

int
pps_work_fold_claim(const pps_work_fold_t *fold, pps_held_claim_t *out,
                    const char *workspace, const char *key)
{
    const pps_fold_claim_t *claim = pps_fold_claim_find(fold, workspace, key);
    const pps_fold_outcome_t *outcome;

    if (claim == NULL) {
        return PPS_ENOTFOUND;
    }
    memset(out, 0, sizeof(*out));
    out->state = claim->state;
    if (claim->state == PPS_CLAIM_IN_PROGRESS &&
        claim->incarnation < claim->host->incarnation) {
        out->state = PPS_CLAIM_UNKNOWN;
    }
    out->offset = claim->offset;
    out->incarnation = claim->incarnation;
    out->attempt = claim->attempt;
    out->host = claim->host->name;
    out->digest = claim->digest;
    outcome = claim->outcome;
    if (outcome != NULL) {
        out->status = outcome->status;
        out->content_type = outcome->content_type;
        out->body = outcome->body;
        out->body_size = outcome->body_size;
        out->body_digest = outcome->body_digest;
    }
    return PPS_OK;
}

int
pps_work_fold_pin(const pps_work_fold_t *fold, pps_held_pin_t *out,
                  const char *workspace, const char *session,
                  int64_t log_time_us)
{
    const pps_fold_pin_t *pin = pps_fold_pin_find(fold, workspace, session);

    if (pin == NULL || pps_fold_pin_has_ended(pin, log_time_us)) {
        return PPS_ENOTFOUND;
    }
    out->version = pin->version;
    out->offset = pin->offset;
    out->idle_s = pin->idle_s;
    return PPS_OK;
}
