/** @file publish.c @brief Computes the stage of a published revision. */
#include "papayaswitch/errors.h"
#include "papayaswitch/serving.h"

#include <stdlib.h>
#include <string.h>

void
pps_publish_report_update(pps_publish_report_t *record,
                          const pps_host_report_t *report, uint64_t revision)
{
    if (record->id[0] == '\0' ||
        record->incarnation != report->status.incarnation) {
        memcpy(record->id, report->id, sizeof(record->id));
        record->incarnation = report->status.incarnation;
        record->held_since_us = PPS_TIME_NONE;
    }
    record->revision = report->status.revision;
    record->ping_sent_us = report->echo_us;
    if (record->held_since_us == PPS_TIME_NONE &&
        record->revision >= revision) {
        record->held_since_us = report->pong_received_us;
    }
}

static const pps_publish_report_t *
find_report(const pps_publish_input_t *input, const char *id)
{
    for (size_t i = 0; i < input->report_count; i++) {
        if (strcmp(input->reports[i].id, id) == 0) {
            return &input->reports[i];
        }
    }
    return NULL;
}

static int
holds_revision(const pps_publish_input_t *input,
               const pps_publish_report_t *report)
{
    return report != NULL && report->held_since_us != PPS_TIME_NONE &&
           report->revision >= input->revision;
}

static int
is_listed(const pps_publish_input_t *input, const char *id)
{
    return pps_host_list_find(input->hosts, id) != NULL;
}

/* A host held the revision at `time` if it first reported it by then and
 * answered a ping sent at or after `time` in the same incarnation. */
static size_t
count_holding_at(const pps_publish_input_t *input, int64_t time)
{
    size_t count = 0;

    for (size_t i = 0; i < input->report_count; i++) {
        const pps_publish_report_t *report = &input->reports[i];

        if (holds_revision(input, report) && is_listed(input, report->id) &&
            report->held_since_us <= time && report->ping_sent_us >= time) {
            count++;
        }
    }
    return count;
}

static int64_t
find_accepted(const pps_publish_input_t *input)
{
    size_t needed = pps_host_list_majority(input->hosts);
    int64_t earliest = PPS_TIME_NONE;

    for (size_t i = 0; i < input->report_count; i++) {
        int64_t time = input->reports[i].held_since_us;

        if (time == PPS_TIME_NONE || count_holding_at(input, time) < needed) {
            continue;
        }
        if (earliest == PPS_TIME_NONE || time < earliest) {
            earliest = time;
        }
    }
    return earliest;
}

/* The process that answered before the acceptance may have been replaced
 * since by one that lacks the revision. */
static int
has_acknowledged(const pps_publish_input_t *input,
                 const pps_publish_report_t *report, int64_t accepted_us)
{
    return holds_revision(input, report) &&
           report->ping_sent_us >= accepted_us;
}

/* A host that answers may serve traffic before the list names it. */
static int
find_missing(pps_publish_status_t *out, const pps_publish_input_t *input)
{
    size_t capacity = input->hosts->count + input->report_count;

    out->missing = calloc(capacity + 1, sizeof(*out->missing));
    if (out->missing == NULL) {
        return pps_error_set(PPS_ENOMEM, "publish: out of memory");
    }
    for (size_t i = 0; i < input->hosts->count; i++) {
        const char *id = input->hosts->hosts[i].id;

        if (!has_acknowledged(input, find_report(input, id),
                              out->accepted_us)) {
            out->missing[out->missing_count++] = id;
        }
    }
    for (size_t i = 0; i < input->report_count; i++) {
        const pps_publish_report_t *report = &input->reports[i];

        if (!is_listed(input, report->id) &&
            !has_acknowledged(input, report, out->accepted_us) &&
            report->ping_sent_us + input->window_us > input->now_us) {
            out->missing[out->missing_count++] = report->id;
        }
    }
    return PPS_OK;
}

int
pps_publish_evaluate(pps_publish_status_t *out,
                     const pps_publish_input_t *input)
{
    int64_t wait = input->window_us + input->margin_us;
    int error;

    memset(out, 0, sizeof(*out));
    out->accepted_us = find_accepted(input);
    error = find_missing(out, input);
    if (error != 0) {
        return error;
    }
    if (out->accepted_us == PPS_TIME_NONE) {
        return PPS_OK;
    }
    out->stage = PPS_PUBLISH_ACCEPTED;
    if (out->missing_count == 0 || out->accepted_us + wait < input->now_us) {
        out->stage = PPS_PUBLISH_IN_FORCE;
    }
    return PPS_OK;
}

void
pps_publish_status_clear(pps_publish_status_t *status)
{
    free(status->missing);
    status->missing = NULL;
    status->missing_count = 0;
}

const char *
pps_publish_stage_name(pps_publish_stage_t stage)
{
    static const char *const names[] = {"published", "accepted", "in_force"};

    return names[stage];
}
