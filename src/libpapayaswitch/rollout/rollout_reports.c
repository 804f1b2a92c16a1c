/** @file rollout_reports.c @brief Keeps the reports of an upstream in a list.
 */
#include "rollout_reports.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Largest number of processes whose counts are kept. */
#define REPORTS_MAX (2 * PPS_GOSSIP_PEERS_MAX)

static pps_rollout_report_t *
find(const struct cds_list_head *reports, const pps_gossip_process_t *process)
{
    pps_rollout_report_t *report;

    cds_list_for_each_entry (report, reports, node) {
        if (report->process.incarnation == process->incarnation &&
            strcmp(report->process.host, process->host) == 0) {
            return report;
        }
    }
    return NULL;
}

static pps_rollout_report_t *
find_or_add(struct cds_list_head *reports, const pps_gossip_process_t *process)
{
    pps_rollout_report_t *report = find(reports, process);

    if (report == NULL && pps_rollout_reports_count(reports) < REPORTS_MAX) {
        report = calloc(1, sizeof(*report));
        if (report != NULL) {
            report->process = *process;
            cds_list_add_tail(&report->node, reports);
        }
    }
    return report;
}

/* Adopts counts unless they are older than the known ones. */
static void
merge_tally(pps_rollout_report_t *report, const pps_rollout_tally_t *tally,
            int64_t now_us)
{
    if (pps_rollout_tally_progress(tally) >
        pps_rollout_tally_progress(&report->tally)) {
        report->tally = *tally;
        report->changed_us = now_us;
    }
}

void
pps_rollout_reports_note(struct cds_list_head *reports,
                         const pps_gossip_process_t *process,
                         const pps_gossip_rollout_t *told, int64_t now_us)
{
    pps_rollout_report_t *report = find_or_add(reports, process);

    if (report == NULL) {
        return;
    }
    merge_tally(report, &told->tally, now_us);
    report->told_us = now_us;
    if (report->first_told_us == 0) {
        report->first_told_us = now_us;
    }
    report->ended_digest = told->ended_digest;
    report->has_ended_digest = told->has_ended_digest;
}

void
pps_rollout_reports_note_ended(struct cds_list_head *reports,
                               const pps_gossip_ended_count_t *count,
                               int64_t now_us)
{
    pps_rollout_report_t *report = find_or_add(reports, &count->process);

    if (report != NULL) {
        merge_tally(report, &count->tally, now_us);
    }
}

void
pps_rollout_reports_review(struct cds_list_head *reports, pps_gossip_t *gossip,
                           int64_t now_us)
{
    pps_rollout_report_t *report;

    cds_list_for_each_entry (report, reports, node) {
        int is_ended = !pps_gossip_is_live_process(gossip, &report->process);

        if (is_ended != report->is_ended) {
            report->is_ended = is_ended;
            report->changed_us = now_us;
        }
    }
}

void
pps_rollout_reports_sum(pps_rollout_tally_t *sum,
                        const struct cds_list_head *reports)
{
    const pps_rollout_report_t *report;

    cds_list_for_each_entry (report, reports, node) {
        pps_rollout_tally_add(sum, &report->tally);
    }
}

size_t
pps_rollout_reports_count(const struct cds_list_head *reports)
{
    const struct cds_list_head *report;
    size_t count = 0;

    cds_list_for_each(report, reports)
    {
        count++;
    }
    return count;
}

uint64_t
pps_rollout_reports_digest(const struct cds_list_head *reports)
{
    const pps_rollout_report_t *report;
    uint64_t digest = 0;

    cds_list_for_each_entry (report, reports, node) {
        if (report->is_ended) {
            const uint64_t numbers[] = {
                report->process.incarnation,
                pps_rollout_tally_progress(&report->tally)};

            digest ^= XXH64(report->process.host, strlen(report->process.host),
                            XXH64(numbers, sizeof(numbers), 0));
        }
    }
    return digest;
}

const pps_rollout_report_t *
pps_rollout_reports_lookup(const struct cds_list_head *reports,
                           const pps_gossip_process_t *process)
{
    return find(reports, process);
}

int64_t
pps_rollout_reports_told_us(const struct cds_list_head *reports,
                            const pps_gossip_state_t *host)
{
    pps_gossip_process_t process = {.incarnation = host->incarnation};
    const pps_rollout_report_t *report;

    memcpy(process.host, host->address, sizeof(process.host));
    report = find(reports, &process);
    return report != NULL ? report->told_us : 0;
}

void
pps_rollout_reports_clear(struct cds_list_head *reports)
{
    pps_rollout_report_t *report;
    pps_rollout_report_t *next;

    cds_list_for_each_entry_safe (report, next, reports, node) {
        cds_list_del(&report->node);
        free(report);
    }
}
