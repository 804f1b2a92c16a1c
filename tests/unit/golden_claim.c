/** @file golden_claim.c @brief Implements commands on claims and outcomes. */
#include "golden_state.h"

#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define WORKSPACE "office"

static void
run_claim(golden_t *golden, const golden_line_t *line)
{
    golden_host_t *host = golden_find_host(golden, line->words[1]);
    pps_claim_t claim = {.workspace = WORKSPACE,
                         .incarnation = host->incarnation,
                         .attempt = ++host->attempt};
    void *data;
    size_t size;

    golden_copy(claim.key, sizeof(claim.key), line->words[2]);
    golden_copy(claim.request_id, sizeof(claim.request_id), line->words[3]);
    golden_copy(claim.host, sizeof(claim.host), host->listed.id);
    pps_body_digest(claim.digest, line->words[4], strlen(line->words[4]));
    cr_assert_eq(pps_claim_encode(&data, &size, &claim), 0);
    golden_print(golden, "work[%d]%s",
                 (int)golden_append(golden, &golden->work, data, size),
                 line->words[5][0] ? ", acknowledgement lost" : "");
}

static const char *
state_text(const golden_host_t *host, const pps_held_claim_t *held)
{
    static const char *const state_names[] = {"in progress", "completed",
                                              "outcome unknown"};

    if (held->state == PPS_CLAIM_IN_PROGRESS &&
        strcmp(held->host, host->listed.id) == 0 &&
        held->incarnation == host->incarnation) {
        return "granted here";
    }
    return state_names[held->state];
}

static void
run_ask(golden_t *golden, const golden_line_t *line)
{
    const golden_host_t *host = golden_find_host(golden, line->words[1]);
    uint8_t digest[PPS_BODY_DIGEST_SIZE];
    pps_held_claim_t held;

    if (pps_work_fold_claim(host->work, &held, WORKSPACE, line->words[2]) <
        0) {
        golden_print(golden, "nobody holds the key");
        return;
    }
    pps_body_digest(digest, line->words[3], strlen(line->words[3]));
    if (memcmp(digest, held.digest, sizeof(digest)) != 0) {
        golden_print(golden, "the key was used with another request");
        return;
    }
    golden_print(golden, "%s, fencing %d%s%.*s", state_text(host, &held),
                 (int)held.offset, held.body ? ", answer " : "",
                 held.body ? (int)held.body_size : 0,
                 held.body ? (const char *)held.body : "");
}

static pps_outcome_state_t
parse_state(const char *word)
{
    return strcmp(word, "completed") == 0 ? PPS_OUTCOME_COMPLETED
           : strcmp(word, "not-run") == 0 ? PPS_OUTCOME_NOT_RUN
                                          : PPS_OUTCOME_UNKNOWN;
}

static void
run_outcome(golden_t *golden, const golden_line_t *line)
{
    pps_outcome_t outcome = {.workspace = WORKSPACE, .status = 200};
    void *data;
    size_t size;

    golden_copy(outcome.key, sizeof(outcome.key), line->words[2]);
    outcome.claim_offset = strtoull(line->words[3], NULL, 10);
    outcome.state = parse_state(line->words[4]);
    outcome.body = line->words[5];
    outcome.body_size = strlen(line->words[5]);
    cr_assert_eq(pps_outcome_encode(&data, &size, &outcome), 0);
    golden_print(golden, "work[%d]",
                 (int)golden_append(golden, &golden->work, data, size));
}

const golden_command_t golden_claim_commands[] = {
    {"claim", run_claim},     /* claim HOST KEY REQUEST BODY [lost] */
    {"ask", run_ask},         /* ask HOST KEY BODY */
    {"outcome", run_outcome}, /* outcome HOST KEY FENCING STATE [ANSWER] */
    {NULL, NULL},
};
