/** @file fold_claims.c @brief Applies claims and outcomes to a fold. */
#include "fold_state.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

size_t
pps_fold_build_name(char out[PPS_FOLD_NAME_MAX], const char *workspace,
                    const char *key)
{
    size_t first = strnlen(workspace, PPS_NAME_MAX);
    size_t second = strnlen(key, PPS_WORK_KEY_MAX);

    memcpy(out, workspace, first);
    out[first] = '\0';
    memcpy(out + first + 1, key, second);
    out[first + 1 + second] = '\0';
    return first + second + 2;
}

pps_fold_claim_t *
pps_fold_claim_find(const pps_work_fold_t *fold, const char *workspace,
                    const char *key)
{
    char name[PPS_FOLD_NAME_MAX];
    size_t size = pps_fold_build_name(name, workspace, key);
    pps_table_item_t *item = pps_table_find(&fold->claims, name, size);

    return item ? caa_container_of(item, pps_fold_claim_t, item) : NULL;
}

pps_fold_claim_t *
pps_fold_claim_add(pps_work_fold_t *fold, const char *name, size_t name_size,
                   pps_fold_host_t *host)
{
    pps_fold_claim_t *claim = calloc(1, sizeof(*claim) + name_size);

    if (claim == NULL) {
        return NULL;
    }
    memcpy(claim->name, name, name_size);
    claim->name_size = name_size;
    claim->host = host;
    host->claims++;
    cds_list_add_tail(&claim->node, &fold->claim_list);
    pps_table_add(&fold->claims, &claim->item, claim->name, name_size);
    return claim;
}

static void
free_outcome(pps_fold_outcome_t *outcome)
{
    if (outcome != NULL) {
        free(outcome->body);
        free(outcome);
    }
}

void
pps_fold_claim_remove(pps_work_fold_t *fold, pps_fold_claim_t *claim)
{
    claim->host->claims--;
    pps_table_remove(&fold->claims, &claim->item);
    cds_list_del(&claim->node);
    free_outcome(claim->outcome);
    free(claim);
}

static void
renew(pps_work_fold_t *fold, pps_fold_claim_t *claim)
{
    claim->time_us = fold->log_time_us;
    cds_list_del(&claim->node);
    cds_list_add_tail(&claim->node, &fold->claim_list);
}

int
pps_fold_claim_apply(pps_work_fold_t *fold, uint64_t offset,
                     const pps_claim_t *claim, int *won)
{
    char name[PPS_FOLD_NAME_MAX];
    size_t size = pps_fold_build_name(name, claim->workspace, claim->key);
    pps_fold_host_t *host = pps_fold_host_intern(fold, claim->host);
    pps_fold_claim_t *held;

    *won = 0;
    if (host == NULL) {
        return PPS_ENOMEM;
    }
    if (pps_fold_host_record_claim(fold, host, claim->incarnation)) {
        return PPS_OK;
    }
    if (pps_table_find(&fold->claims, name, size) != NULL) {
        return PPS_OK;
    }
    held = pps_fold_claim_add(fold, name, size, host);
    if (held == NULL) {
        return PPS_ENOMEM;
    }
    held->offset = offset;
    held->incarnation = claim->incarnation;
    held->attempt = claim->attempt;
    held->time_us = fold->log_time_us;
    memcpy(held->digest, claim->digest, sizeof(held->digest));
    *won = 1;
    return PPS_OK;
}

static pps_fold_outcome_t *
create_outcome(const pps_outcome_t *outcome)
{
    pps_fold_outcome_t *kept = calloc(1, sizeof(*kept));

    if (kept == NULL) {
        return NULL;
    }
    kept->status = outcome->status;
    memcpy(kept->content_type, outcome->content_type,
           sizeof(kept->content_type));
    kept->body = (void *)outcome->body;
    kept->body_size = outcome->body_size;
    memcpy(kept->body_digest, outcome->body_digest, sizeof(kept->body_digest));
    return kept;
}

int
pps_fold_outcome_apply(pps_work_fold_t *fold, const pps_outcome_t *outcome)
{
    pps_fold_claim_t *claim =
        pps_fold_claim_find(fold, outcome->workspace, outcome->key);

    if (claim == NULL || claim->offset != outcome->claim_offset ||
        claim->state == PPS_CLAIM_COMPLETED) {
        free((void *)outcome->body);
        return PPS_OK;
    }
    if (outcome->state == PPS_OUTCOME_COMPLETED) {
        claim->outcome = create_outcome(outcome);
        if (claim->outcome == NULL) {
            free((void *)outcome->body);
            return PPS_ENOMEM;
        }
        claim->state = PPS_CLAIM_COMPLETED;
        renew(fold, claim);
        return PPS_OK;
    }
    free((void *)outcome->body);
    if (outcome->state == PPS_OUTCOME_NOT_RUN &&
        claim->state == PPS_CLAIM_IN_PROGRESS) {
        pps_fold_claim_remove(fold, claim);
        return PPS_OK;
    }
    claim->state = PPS_CLAIM_UNKNOWN;
    renew(fold, claim);
    return PPS_OK;
}

void
pps_fold_claims_expire(pps_work_fold_t *fold)
{
    pps_fold_claim_t *claim;
    pps_fold_claim_t *following;

    cds_list_for_each_entry_safe (claim, following, &fold->claim_list, node) {
        if (fold->log_time_us - claim->time_us <= fold->retention_us) {
            break;
        }
        pps_fold_claim_remove(fold, claim);
    }
}
