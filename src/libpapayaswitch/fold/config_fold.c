/** @file config_fold.c @brief Folds the config stream record by record. */
#include "papayaswitch/config_fold.h"

#include "fold/config_checkpoint.h"
#include "fold/config_state.h"
#include "fold/digest_history.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct pps_config_fold {
    pps_config_state_t state;
    uint64_t next_offset; /**< offset of the next record to fold */
    uint64_t digest;
    int digest_stale; /**< state changed since `digest` was computed */
    pps_digest_history_t history;
    uint64_t skipped;
    uint64_t repeated;
    uint64_t mismatches;
};

static int
update_digest(pps_config_fold_t *fold, uint64_t next_offset)
{
    int error = pps_config_state_digest(&fold->digest, &fold->state);

    if (error == PPS_OK) {
        pps_digest_history_add(&fold->history, next_offset, fold->digest);
        fold->digest_stale = 0;
    }
    return error;
}

int
pps_config_fold_new(pps_config_fold_t **out)
{
    pps_config_fold_t *fold = calloc(1, sizeof(*fold));
    int error = PPS_ENOMEM;

    if (fold != NULL) {
        error = pps_config_state_init(&fold->state);
    }
    if (error == PPS_OK) {
        error = update_digest(fold, 0);
    }
    if (error < 0) {
        pps_config_fold_free(fold);
        return pps_error_set(error, "config fold: out of memory");
    }
    *out = fold;
    return PPS_OK;
}

void
pps_config_fold_free(pps_config_fold_t *fold)
{
    if (fold == NULL) {
        return;
    }
    pps_config_state_clear(&fold->state);
    free(fold);
}

/* A reason is limited to printable ASCII because it is written to JSON. Hosts
 * compare digests that cover it, so that they must set equal texts. */
static void
set_reason(pps_note_verdict_t *verdict, int error,
           const pps_findings_t *findings)
{
    const pps_finding_t *first = pps_findings_at(findings, 0);

    if (error == PPS_ECONFLICT || first == NULL) {
        snprintf(verdict->reason, sizeof(verdict->reason), "%s",
                 pps_error_last());
    }
    else {
        snprintf(verdict->reason, sizeof(verdict->reason), "line %d: %s",
                 first->line, first->message);
    }
    for (char *at = verdict->reason; *at != '\0'; at++) {
        if (!isascii(*at) || !isprint((unsigned char)*at)) {
            *at = '?';
        }
    }
}

/* Takes ownership of `catalog`, which is NULL for a rejected note. */
static int
add_verdict(pps_config_fold_t *fold, const pps_note_verdict_t *verdict,
            pps_catalog_t *catalog)
{
    int error = pps_verdict_log_add(&fold->state.verdicts, verdict);

    if (error < 0) {
        pps_catalog_free(catalog);
        return error;
    }
    if (catalog != NULL) {
        pps_catalog_free(fold->state.catalog);
        fold->state.catalog = catalog;
    }
    fold->digest_stale = 1;
    return PPS_OK;
}

static int
apply_note(pps_config_fold_t *fold, const pps_note_t *note, uint64_t offset,
           pps_findings_t *findings)
{
    pps_note_verdict_t verdict = {.offset = offset,
                                  .digest = pps_note_digest(note)};
    pps_catalog_t *catalog = NULL;
    int error = pps_catalog_apply(&catalog, fold->state.catalog, note, "note",
                                  findings);

    if (error == PPS_ENOMEM) {
        return error;
    }
    snprintf(verdict.id, sizeof(verdict.id), "%s", pps_note_id(note));
    verdict.accepted = error == PPS_OK;
    if (verdict.accepted) {
        verdict.revision = pps_catalog_revision(catalog);
    }
    else {
        set_reason(&verdict, error, findings);
    }
    return add_verdict(fold, &verdict, catalog);
}

static int
fold_note(pps_config_fold_t *fold, const pps_record_t *record, uint64_t offset)
{
    pps_findings_t *findings;
    pps_note_t *note = NULL;
    int error = pps_findings_new(&findings);

    if (error < 0) {
        return error;
    }
    error =
        pps_note_parse(&note, record->payload, record->size, "note", findings);
    if (error == PPS_ENOMEM) {
        goto done;
    }
    error = PPS_OK;
    if (pps_note_id(note)[0] == '\0') {
        fold->skipped++;
        goto done;
    }
    if (pps_verdict_log_find(&fold->state.verdicts, pps_note_id(note))) {
        fold->repeated++;
        goto done;
    }
    error = apply_note(fold, note, offset, findings);

done:
    pps_note_free(note);
    pps_findings_free(findings);
    return error;
}

/* Returns 1 if the checkpoint covers records not yet folded, or if the fold's
 * digest at its offset is stored and differs. */
static int
is_mismatch(const pps_config_fold_t *fold,
            const pps_config_checkpoint_t *checkpoint)
{
    uint64_t digest;

    if (checkpoint->next_offset > fold->next_offset) {
        return 1;
    }
    return pps_digest_history_find(&fold->history, &digest,
                                   checkpoint->next_offset) == PPS_OK &&
           digest != XXH64(checkpoint->state, checkpoint->size, 0);
}

/* A running fold compares checkpoints and never restores one. */
static void
compare_checkpoint(pps_config_fold_t *fold, const pps_record_t *record)
{
    pps_config_checkpoint_t checkpoint;

    if (pps_config_checkpoint_open(&checkpoint, record->payload,
                                   record->size) < 0) {
        fold->skipped++;
        return;
    }
    if (is_mismatch(fold, &checkpoint)) {
        fold->mismatches++;
    }
    pps_config_checkpoint_close(&checkpoint);
}

static int
fold_record(pps_config_fold_t *fold, const pps_log_entry_t *entry)
{
    pps_record_t record;

    if (pps_record_decode(&record, entry->data, entry->size) < 0) {
        fold->skipped++;
        return PPS_OK;
    }
    switch (record.kind) {
    case PPS_RECORD_NOTE:
        return fold_note(fold, &record, entry->offset);
    case PPS_RECORD_CONFIG_CHECKPOINT:
        compare_checkpoint(fold, &record);
        return PPS_OK;
    default:
        fold->skipped++;
        return PPS_OK;
    }
}

int
pps_config_fold_apply(pps_config_fold_t *fold, const pps_log_entry_t *entry)
{
    int error;

    if (entry->offset != fold->next_offset) {
        return pps_error_set(
            PPS_EINVALID, "config record at offset %llu, expected offset %llu",
            (unsigned long long)entry->offset,
            (unsigned long long)fold->next_offset);
    }
    error = fold_record(fold, entry);
    if (error == PPS_OK && fold->digest_stale) {
        error = update_digest(fold, entry->offset + 1);
    }
    if (error == PPS_OK) {
        fold->next_offset++;
    }
    return error;
}

uint64_t
pps_config_fold_next(const pps_config_fold_t *fold)
{
    return fold->next_offset;
}

const pps_catalog_t *
pps_config_fold_catalog(const pps_config_fold_t *fold)
{
    return fold->state.catalog;
}

int
pps_config_fold_verdict(const pps_config_fold_t *fold, pps_note_verdict_t *out,
                        const char *id)
{
    const pps_note_verdict_t *verdict =
        pps_verdict_log_find(&fold->state.verdicts, id);

    if (verdict == NULL) {
        return pps_error_set(PPS_ENOTFOUND, "no verdict on note %s", id);
    }
    *out = *verdict;
    return PPS_OK;
}

int
pps_config_fold_verdict_foreach(const pps_config_fold_t *fold,
                                int (*visit)(const pps_note_verdict_t *,
                                             void *),
                                void *user)
{
    const pps_verdict_entry_t *entry;

    cds_list_for_each_entry (entry, &fold->state.verdicts.entries, node) {
        int stop = visit(&entry->verdict, user);

        if (stop != 0) {
            return stop;
        }
    }
    return 0;
}

int
pps_config_fold_checkpoint(const pps_config_fold_t *fold, void **out,
                           size_t *size)
{
    msgpack_sbuffer state;
    int error = pps_config_state_encode(&state, &fold->state);

    if (error < 0) {
        return error;
    }
    error = pps_config_checkpoint_pack(out, size, fold->next_offset,
                                       state.data, state.size);
    msgpack_sbuffer_destroy(&state);
    return error;
}

int
pps_config_fold_restore(pps_config_fold_t **out, const void *payload,
                        size_t size)
{
    pps_config_checkpoint_t checkpoint;
    pps_config_fold_t *fold = calloc(1, sizeof(*fold));
    int error;

    if (fold == NULL) {
        return pps_error_set(PPS_ENOMEM, "config fold: out of memory");
    }
    error = pps_config_checkpoint_open(&checkpoint, payload, size);
    if (error < 0) {
        free(fold);
        return error;
    }
    error = pps_config_state_decode(&fold->state, checkpoint.state,
                                    checkpoint.size);
    fold->next_offset = checkpoint.next_offset;
    pps_config_checkpoint_close(&checkpoint);
    if (error < 0) {
        free(fold);
        return error;
    }
    error = update_digest(fold, fold->next_offset);
    if (error < 0) {
        pps_config_fold_free(fold);
        return error;
    }
    *out = fold;
    return PPS_OK;
}

uint64_t
pps_config_fold_digest(const pps_config_fold_t *fold)
{
    return fold->digest;
}

uint64_t
pps_config_fold_skipped(const pps_config_fold_t *fold)
{
    return fold->skipped;
}

uint64_t
pps_config_fold_repeated(const pps_config_fold_t *fold)
{
    return fold->repeated;
}

uint64_t
pps_config_fold_mismatches(const pps_config_fold_t *fold)
{
    return fold->mismatches;
}
