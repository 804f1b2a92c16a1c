/**
 * @file rollout_reports.h
 * @brief What other hosts have told of an active roll-out. Does no I/O and
 * reads no clock.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_REPORTS_H
#define PPS_ROLLOUT_ROLLOUT_REPORTS_H

#include "gossip/gossip.h"
#include "verdict.h"

#include <urcu/list.h>

/** The last report of one host. */
typedef struct {
    struct cds_list_head node;
    char host[PPS_GOSSIP_TEXT_BYTES]; /**< address */
    pps_rollout_tally_t tally;
    int64_t told_us; /**< when it was received */
} pps_rollout_report_t;

/** Notes a host's counts in place of those that it told before. They are left
 * out if memory is exhausted, which counts as a host that tells nothing. */
void
pps_rollout_reports_note(struct cds_list_head *reports, const char *host,
                         const pps_rollout_tally_t *tally, int64_t now_us);

/** Adds the counts of all reports to `sum`. */
void
pps_rollout_reports_sum(pps_rollout_tally_t *sum,
                        const struct cds_list_head *reports);

/** Returns the number of reports. */
size_t
pps_rollout_reports_count(const struct cds_list_head *reports);

/** Returns when a host last told of the roll-out, or 0 if it never did. */
int64_t
pps_rollout_reports_told_us(const struct cds_list_head *reports,
                            const char *host);

/** Removes all reports. */
void
pps_rollout_reports_clear(struct cds_list_head *reports);

#endif
