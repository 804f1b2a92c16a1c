/** @file load_report.c @brief Counts of a load. */
#include "load_report.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
load_report_init(load_report_t *account, int sessions)
{
    memset(account, 0, sizeof(*account));
    pthread_mutex_init(&account->lock, NULL);
    account->codes = json_object();
    account->failures = json_array();
    account->session_versions =
        calloc((size_t)sessions + 1, sizeof(*account->session_versions));
    if (account->codes == NULL || account->failures == NULL ||
        account->session_versions == NULL) {
        load_report_clear(account);
        return pps_error_set(PPS_ENOMEM, "account: out of memory");
    }
    return PPS_OK;
}

void
load_report_clear(load_report_t *account)
{
    for (int i = 0; i < LOAD_KIND_COUNT; i++) {
        load_samples_clear(&account->kinds[i].first);
        load_samples_clear(&account->kinds[i].total);
    }
    json_decref(account->codes);
    json_decref(account->failures);
    free(account->session_versions);
    pthread_mutex_destroy(&account->lock);
}

static load_version_count_t *
find_version(load_report_t *account, const char *name)
{
    load_version_count_t *found;

    for (size_t i = 0; i < account->version_count; i++) {
        if (strcmp(account->versions[i].name, name) == 0) {
            return &account->versions[i];
        }
    }
    if (account->version_count == LOAD_VERSIONS_MAX) {
        return NULL;
    }
    found = &account->versions[account->version_count++];
    snprintf(found->name, sizeof(found->name), "%s", name);
    found->first_sent_us = INT64_MAX;
    return found;
}

static void
add_version(load_report_t *account, const char *name, int64_t sent_us)
{
    load_version_count_t *version;

    if (name[0] == '\0') {
        return;
    }
    version = find_version(account, name);
    if (version == NULL) {
        return;
    }
    version->count++;
    if (sent_us < version->first_sent_us) {
        version->first_sent_us = sent_us;
    }
    if (sent_us > version->last_sent_us) {
        version->last_sent_us = sent_us;
    }
}

static void
add_session(load_report_t *account, int session, const char *version)
{
    char *known;

    if (session < 0 || version[0] == '\0') {
        return;
    }
    known = account->session_versions[session];
    if (known[0] != '\0' && strcmp(known, version) != 0) {
        account->session_changes++;
    }
    snprintf(known, sizeof(account->session_versions[session]), "%s", version);
}

static void
add_code(load_report_t *account, const char *code)
{
    json_int_t before =
        json_integer_value(json_object_get(account->codes, code));

    json_object_set_new(account->codes, code, json_integer(before + 1));
}

static void
add_failure(load_report_t *account, const load_request_t *request,
            const load_answer_t *answer, const load_outcome_t *outcome)
{
    if (json_array_size(account->failures) >= LOAD_FAILURES_MAX) {
        return;
    }
    json_array_append_new(
        account->failures,
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:s,s:I,s:I}", "request_id",
                  request->id, "kind", load_request_kind(request)->name,
                  "verdict", load_verdict_name(outcome->verdict), "entry",
                  outcome->entry, "version", answer->version, "status",
                  (json_int_t)answer->status, "code", load_answer_code(answer),
                  "text_bytes", (json_int_t)answer->text.size, "sent_us",
                  (json_int_t)outcome->sent_wall_us));
}

static void
add_kind(load_kind_count_t *kind, const load_outcome_t *outcome)
{
    kind->sent++;
    if (outcome->verdict != LOAD_WHOLE) {
        return;
    }
    kind->whole++;
    load_samples_add(&kind->total, outcome->total_us);
    if (outcome->first_us > 0) {
        load_samples_add(&kind->first, outcome->first_us);
    }
}

static int
is_verified(const load_request_t *request, const load_answer_t *answer)
{
    return request->options->verify && answer->version[0] != '\0' &&
           load_request_kind(request)->target == LOAD_TARGET_MODEL;
}

void
load_report_add(load_report_t *account, const load_request_t *request,
                const load_answer_t *answer, const load_outcome_t *outcome)
{
    pthread_mutex_lock(&account->lock);
    account->sent++;
    account->retries += outcome->retries;
    account->verdicts[outcome->verdict]++;
    account->verified += is_verified(request, answer);
    account->ran_twice += answer->runs > 1;
    add_kind(&account->kinds[request->kind], outcome);
    if (outcome->verdict == LOAD_WHOLE) {
        add_version(account, answer->version, outcome->sent_wall_us);
        add_session(account, request->session, answer->version);
    }
    else {
        add_failure(account, request, answer, outcome);
    }
    if (answer->error != NULL) {
        add_code(account, load_answer_code(answer));
    }
    pthread_mutex_unlock(&account->lock);
}

void
load_report_not_sent(load_report_t *account)
{
    pthread_mutex_lock(&account->lock);
    account->not_sent++;
    pthread_mutex_unlock(&account->lock);
}

static json_t *
kinds_json(load_report_t *account)
{
    json_t *kinds = json_object();

    for (int i = 0; i < LOAD_KIND_COUNT; i++) {
        load_kind_count_t *kind = &account->kinds[i];

        if (kind->sent > 0) {
            json_object_set_new(
                kinds, load_kinds[i].name,
                json_pack("{s:I,s:I,s:o,s:o}", "sent", (json_int_t)kind->sent,
                          "whole", (json_int_t)kind->whole, "first_ms",
                          load_samples_json(&kind->first), "total_ms",
                          load_samples_json(&kind->total)));
        }
    }
    return kinds;
}

static json_t *
versions_json(const load_report_t *account)
{
    json_t *versions = json_array();

    for (size_t i = 0; i < account->version_count; i++) {
        const load_version_count_t *version = &account->versions[i];

        json_array_append_new(
            versions,
            json_pack("{s:s,s:I,s:I,s:I}", "version", version->name, "count",
                      (json_int_t)version->count, "first_sent_us",
                      (json_int_t)version->first_sent_us, "last_sent_us",
                      (json_int_t)version->last_sent_us));
    }
    return versions;
}

json_t *
load_report_json(load_report_t *account)
{
    json_t *json = json_object();

    pthread_mutex_lock(&account->lock);
    json_object_set_new(json, "sent", json_integer(account->sent));
    for (int i = 0; i < LOAD_VERDICT_COUNT; i++) {
        json_object_set_new(json, load_verdict_name((load_verdict_t)i),
                            json_integer(account->verdicts[i]));
    }
    json_object_set_new(json, "verified", json_integer(account->verified));
    json_object_set_new(json, "ran_twice", json_integer(account->ran_twice));
    json_object_set_new(json, "session_version_changes",
                        json_integer(account->session_changes));
    json_object_set_new(json, "not_sent", json_integer(account->not_sent));
    json_object_set_new(json, "retries", json_integer(account->retries));
    json_object_set(json, "codes", account->codes);
    json_object_set_new(json, "kinds", kinds_json(account));
    json_object_set_new(json, "versions", versions_json(account));
    json_object_set(json, "failures", account->failures);
    pthread_mutex_unlock(&account->lock);
    return json;
}

int
load_report_broken(const load_report_t *account)
{
    return account->verdicts[LOAD_CUT] > 0 ||
           account->verdicts[LOAD_NO_ANSWER] > 0 ||
           account->verdicts[LOAD_WRONG] > 0 || account->ran_twice > 0 ||
           account->session_changes > 0;
}
