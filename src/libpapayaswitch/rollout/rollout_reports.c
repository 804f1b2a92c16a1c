/** @file rollout_reports.c @brief Keeps the reports of an upstream in a list.
 */
#include "rollout_reports.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static pps_rollout_report_t *
find(const struct cds_list_head *reports, const char *host)
{
    pps_rollout_report_t *report;

    cds_list_for_each_entry (report, reports, node) {
        if (strcmp(report->host, host) == 0) {
            return report;
        }
    }
    return NULL;
}

void
pps_rollout_reports_note(struct cds_list_head *reports, const char *host,
                         const pps_rollout_tally_t *tally, int64_t now_us)
{
    pps_rollout_report_t *report = find(reports, host);

    if (report == NULL) {
        report = calloc(1, sizeof(*report));
        if (report == NULL) {
            return;
        }
        snprintf(report->host, sizeof(report->host), "%s", host);
        cds_list_add_tail(&report->node, reports);
    }
    report->tally = *tally;
    report->told_us = now_us;
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

int64_t
pps_rollout_reports_told_us(const struct cds_list_head *reports,
                            const char *host)
{
    const pps_rollout_report_t *report = find(reports, host);

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
