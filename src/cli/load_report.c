/** @file load_report.c @brief Counts and latencies of a load. */
#include "load_report.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
load_report_init(load_report_t *report, int sessions)
{
    memset(report, 0, sizeof(*report));
    pthread_mutex_init(&report->lock, NULL);
    report->codes = json_object();
    report->failures = json_array();
    report->session_versions =
        calloc((size_t)sessions + 1, sizeof(*report->session_versions));
    if (report->codes == NULL || report->failures == NULL ||
        report->session_versions == NULL) {
        load_report_clear(report);
        return pps_error_set(PPS_ENOMEM, "load report: out of memory");
    }
    return PPS_OK;
}

void
load_report_clear(load_report_t *report)
{
    for (int i = 0; i < LOAD_KIND_COUNT; i++) {
        load_samples_clear(&report->kinds[i].first_text);
        load_samples_clear(&report->kinds[i].total);
    }
    json_decref(report->codes);
    json_decref(report->failures);
    free(report->session_versions);
    pthread_mutex_destroy(&report->lock);
}

static load_version_count_t *
find_version(load_report_t *report, const char *name)
{
    load_version_count_t *found;

    for (size_t i = 0; i < report->version_count; i++) {
        if (strcmp(report->versions[i].name, name) == 0) {
            return &report->versions[i];
        }
    }
    if (report->version_count == LOAD_VERSIONS_MAX) {
        return NULL;
    }
    found = &report->versions[report->version_count++];
    snprintf(found->name, sizeof(found->name), "%s", name);
    found->first_sent_us = INT64_MAX;
    return found;
}

static void
add_version(load_report_t *report, const char *name, int64_t sent_us)
{
    load_version_count_t *version;

    if (name[0] == '\0') {
        return;
    }
    version = find_version(report, name);
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
update_session_version(load_report_t *report, int session, const char *version)
{
    char *previous;

    if (session < 0 || version[0] == '\0') {
        return;
    }
    previous = report->session_versions[session];
    if (previous[0] != '\0' && strcmp(previous, version) != 0) {
        report->session_version_changes++;
    }
    snprintf(previous, sizeof(report->session_versions[session]), "%s",
             version);
}

static void
add_code(load_report_t *report, const char *code)
{
    json_int_t count =
        json_integer_value(json_object_get(report->codes, code));

    json_object_set_new(report->codes, code, json_integer(count + 1));
}

static void
add_failure(load_report_t *report, const load_request_t *request,
            const load_answer_t *answer, const load_outcome_t *outcome)
{
    if (json_array_size(report->failures) >= LOAD_FAILURES_MAX) {
        return;
    }
    json_array_append_new(
        report->failures,
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:s,s:I,s:I}", "request_id",
                  request->id, "kind", load_request_kind(request)->name,
                  "verdict", load_verdict_name(outcome->verdict), "entry",
                  outcome->entry, "version", answer->version, "status",
                  (json_int_t)answer->status, "code",
                  load_answer_error_code(answer), "text_bytes",
                  (json_int_t)answer->text.size, "sent_us",
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
    if (outcome->first_text_us > 0) {
        load_samples_add(&kind->first_text, outcome->first_text_us);
    }
}

static int
is_verified(const load_request_t *request, const load_answer_t *answer)
{
    return request->options->verify && answer->version[0] != '\0' &&
           load_request_kind(request)->target == LOAD_TARGET_MODEL;
}

void
load_report_add(load_report_t *report, const load_request_t *request,
                const load_answer_t *answer, const load_outcome_t *outcome)
{
    pthread_mutex_lock(&report->lock);
    report->sent++;
    report->retries += outcome->retries;
    report->verdicts[outcome->verdict]++;
    report->verified += is_verified(request, answer);
    report->ran_twice += answer->run_count > 1;
    add_kind(&report->kinds[request->kind], outcome);
    if (outcome->verdict == LOAD_WHOLE) {
        add_version(report, answer->version, outcome->sent_wall_us);
        update_session_version(report, request->session, answer->version);
    }
    else {
        add_failure(report, request, answer, outcome);
    }
    if (answer->error != NULL) {
        add_code(report, load_answer_error_code(answer));
    }
    pthread_mutex_unlock(&report->lock);
}

void
load_report_count_unsent(load_report_t *report)
{
    pthread_mutex_lock(&report->lock);
    report->not_sent++;
    pthread_mutex_unlock(&report->lock);
}

static json_t *
kinds_json(load_report_t *report)
{
    json_t *kinds = json_object();

    for (int i = 0; i < LOAD_KIND_COUNT; i++) {
        load_kind_count_t *kind = &report->kinds[i];

        if (kind->sent > 0) {
            json_object_set_new(
                kinds, load_kinds[i].name,
                json_pack("{s:I,s:I,s:o,s:o}", "sent", (json_int_t)kind->sent,
                          "whole", (json_int_t)kind->whole, "first_ms",
                          load_samples_json(&kind->first_text), "total_ms",
                          load_samples_json(&kind->total)));
        }
    }
    return kinds;
}

static json_t *
versions_json(const load_report_t *report)
{
    json_t *versions = json_array();

    for (size_t i = 0; i < report->version_count; i++) {
        const load_version_count_t *version = &report->versions[i];

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
load_report_json(load_report_t *report)
{
    json_t *json = json_object();

    pthread_mutex_lock(&report->lock);
    json_object_set_new(json, "sent", json_integer(report->sent));
    for (int i = 0; i < LOAD_VERDICT_COUNT; i++) {
        json_object_set_new(json, load_verdict_name((load_verdict_t)i),
                            json_integer(report->verdicts[i]));
    }
    json_object_set_new(json, "verified", json_integer(report->verified));
    json_object_set_new(json, "ran_twice", json_integer(report->ran_twice));
    json_object_set_new(json, "session_version_changes",
                        json_integer(report->session_version_changes));
    json_object_set_new(json, "not_sent", json_integer(report->not_sent));
    json_object_set_new(json, "retries", json_integer(report->retries));
    json_object_set(json, "codes", report->codes);
    json_object_set_new(json, "kinds", kinds_json(report));
    json_object_set_new(json, "versions", versions_json(report));
    json_object_set(json, "failures", report->failures);
    pthread_mutex_unlock(&report->lock);
    return json;
}

int
load_report_has_violations(const load_report_t *report)
{
    return report->verdicts[LOAD_CUT] > 0 ||
           report->verdicts[LOAD_NO_ANSWER] > 0 ||
           report->verdicts[LOAD_WRONG] > 0 || report->ran_twice > 0 ||
           report->session_version_changes > 0;
}
