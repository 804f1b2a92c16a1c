/**
 * @file rollout_reports.h
 * @brief What the processes of other hosts have counted of an active roll-out.
 * Does no I/O and reads no clock.
 *
 * A process's counts only grow. Those of a process that has ended stay, and
 * are handed to hosts that start, so that all hosts come to the same sum.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_REPORTS_H
#define PPS_ROLLOUT_ROLLOUT_REPORTS_H

#include "gossip/gossip.h"
#include "gossip/gossip_processes.h"
#include "verdict.h"

#include <urcu/list.h>

/** The counts of one process. */
typedef struct {
    struct cds_list_head node;
    pps_gossip_process_t process;
    pps_rollout_tally_t tally;
    int64_t first_told_us; /**< when it first told its counts itself; 0: never
                            */
    int64_t told_us;       /**< when it last did; 0: never */
    int is_ended;          /**< it is no live host's process */
    int64_t changed_us;    /**< when it ended, or its counts last changed since
                            */
    uint64_t ended_digest; /**< as it last told */
    int has_ended_digest;
} pps_rollout_report_t;

/** Notes counts that a process has told itself. They are left out if memory is
 * exhausted or there are too many processes, which counts as one that tells
 * nothing. */
void
pps_rollout_reports_note(struct cds_list_head *reports,
                         const pps_gossip_process_t *process,
                         const pps_gossip_rollout_t *told, int64_t now_us);

/** Notes counts of an ended process that another host has handed over. */
void
pps_rollout_reports_note_ended(struct cds_list_head *reports,
                               const pps_gossip_ended_count_t *count,
                               int64_t now_us);

/** Finds out which processes have ended. */
void
pps_rollout_reports_review(struct cds_list_head *reports, pps_gossip_t *gossip,
                           int64_t now_us);

/** Adds the counts of all reports to `sum`. */
void
pps_rollout_reports_sum(pps_rollout_tally_t *sum,
                        const struct cds_list_head *reports);

/** Returns the number of reports. */
size_t
pps_rollout_reports_count(const struct cds_list_head *reports);

/** Returns a digest of the ended processes and their counts. */
uint64_t
pps_rollout_reports_digest(const struct cds_list_head *reports);

/** Returns the report of a process, or NULL. */
const pps_rollout_report_t *
pps_rollout_reports_lookup(const struct cds_list_head *reports,
                           const pps_gossip_process_t *process);

/** Returns when the process of a host last told of the roll-out, or 0 if it
 * never did. */
int64_t
pps_rollout_reports_told_us(const struct cds_list_head *reports,
                            const pps_gossip_state_t *host);

/** Removes all reports. */
void
pps_rollout_reports_clear(struct cds_list_head *reports);

#endif
