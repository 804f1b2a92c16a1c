/** @file evaluate.c @brief Decides whether a host may start work. */
#include "papayaswitch/errors.h"
#include "papayaswitch/serving.h"

#include <stdlib.h>
#include <string.h>

static int
is_fresh(const pps_serving_input_t *input, const pps_host_report_t *report)
{
    return report->pong_received_us != PPS_TIME_NONE &&
           report->echo_us + input->window_us > input->now_us;
}

static int64_t
find_own_evidence(const pps_serving_input_t *input)
{
    return input->read_head <= input->next_offset ? input->read_sent_us
                                                  : PPS_TIME_NONE;
}

/* The peer sent the pong after this host sent the ping, so subtracting the
 * reported age from the ping's time never overstates the evidence. */
static int64_t
find_peer_evidence(const pps_serving_input_t *input)
{
    int64_t best = PPS_TIME_NONE;

    for (size_t i = 0; i < input->report_count; i++) {
        const pps_host_report_t *report = &input->reports[i];
        int64_t age = report->status.evidence_age_us;

        if (!is_fresh(input, report) || age < 0 || age > report->echo_us ||
            report->status.next_offset > input->next_offset) {
            continue;
        }
        if (report->echo_us - age > best) {
            best = report->echo_us - age;
        }
    }
    return best;
}

static uint64_t
find_highest_offset(const pps_serving_input_t *input)
{
    uint64_t highest = 0;

    for (size_t i = 0; i < input->report_count; i++) {
        if (is_fresh(input, &input->reports[i]) &&
            input->reports[i].status.next_offset > highest) {
            highest = input->reports[i].status.next_offset;
        }
    }
    return highest;
}

static int
newest_first(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;

    return (a < b) - (a > b);
}

static int
counts_toward_majority(const pps_serving_input_t *input,
                       const pps_host_report_t *report)
{
    return is_fresh(input, report) && report->status.synced &&
           strcmp(report->id, input->self_id) != 0 &&
           pps_host_list_find(input->hosts, report->id) != NULL;
}

/* A host that is not synced may have acknowledged a revision before its
 * restart that it no longer holds. It counts in no majority, not even its own.
 */
static int
find_majority_time(int64_t *out, const pps_serving_input_t *input)
{
    size_t needed = pps_host_list_majority(input->hosts);
    int64_t *times = calloc(input->report_count + 1, sizeof(*times));
    size_t count = 0;

    *out = PPS_TIME_NONE;
    if (times == NULL) {
        return pps_error_set(PPS_ENOMEM, "serving: out of memory");
    }
    if (input->synced &&
        pps_host_list_find(input->hosts, input->self_id) != NULL) {
        times[count++] = input->now_us;
    }
    for (size_t i = 0; i < input->report_count; i++) {
        if (counts_toward_majority(input, &input->reports[i])) {
            times[count++] = input->reports[i].echo_us;
        }
    }
    if (count >= needed) {
        qsort(times, count, sizeof(*times), newest_first);
        *out = times[needed - 1];
    }
    free(times);
    return PPS_OK;
}

static void
extend_validity(pps_serving_verdict_t *out, const pps_serving_input_t *input,
                int64_t since_us, pps_serving_reason_t reason)
{
    int64_t until_us = since_us + input->window_us;

    if (since_us != PPS_TIME_NONE && until_us > input->now_us &&
        until_us > out->valid_until_us) {
        out->valid_until_us = until_us;
        out->reason = reason;
    }
}

/* Peer evidence from before the start does not cover what this host may have
 * acknowledged between that evidence and its restart. */
static int
is_synced(const pps_serving_input_t *input, int64_t own, int64_t peer,
          int64_t majority, int behind)
{
    return input->synced || own != PPS_TIME_NONE || peer > input->started_us ||
           (majority != PPS_TIME_NONE && !behind);
}

int
pps_serving_evaluate(pps_serving_verdict_t *out,
                     const pps_serving_input_t *input)
{
    int64_t own = find_own_evidence(input);
    int64_t peer = find_peer_evidence(input);
    int behind = find_highest_offset(input) > input->next_offset;
    int64_t majority;
    int error = find_majority_time(&majority, input);

    memset(out, 0, sizeof(*out));
    if (error != 0) {
        return error;
    }
    out->evidence_us = own > peer ? own : peer;
    out->synced = is_synced(input, own, peer, majority, behind);
    out->reason = behind         ? PPS_SERVING_BEHIND
                  : !out->synced ? PPS_SERVING_NO_STATE
                                 : PPS_SERVING_ISOLATED;
    if (!out->synced) {
        return PPS_OK;
    }
    extend_validity(out, input, own, PPS_SERVING_OWN_EVIDENCE);
    if (!behind) {
        extend_validity(out, input, peer, PPS_SERVING_PEER_EVIDENCE);
        extend_validity(out, input, majority, PPS_SERVING_MAJORITY);
    }
    return PPS_OK;
}
