/** @file reachability.c @brief Counts consecutive unanswered connections. */
#include "reachability.h"

#include "clock.h"

/** Number of consecutive failures after which the path counts as lost.
 * Repeated failures of one worker count once. */
#define FAILURES_MIN 4
/** Time after the last failure for which the path counts as lost. */
#define LOST_US (1000 * PPS_US_PER_MS)
/** Interval between probe calls on a lost path. */
#define PROBE_INTERVAL_US (200 * PPS_US_PER_MS)

void
pps_reachability_record_failure(pps_reachability_t *reach, uint64_t worker,
                                int64_t now_us)
{
    if (reach->failures == 0 || reach->last_worker != worker) {
        reach->failures++;
    }
    reach->last_worker = worker;
    reach->failed_us = now_us;
}

void
pps_reachability_record_reply(pps_reachability_t *reach)
{
    reach->failures = 0;
}

int
pps_reachability_is_lost(const pps_reachability_t *reach, int64_t now_us)
{
    return reach->failures >= FAILURES_MIN &&
           now_us - reach->failed_us < LOST_US;
}

int
pps_reachability_admit_call(pps_reachability_t *reach, int64_t now_us)
{
    if (pps_reachability_is_lost(reach, now_us) &&
        now_us - reach->admitted_us < PROBE_INTERVAL_US) {
        return 0;
    }
    reach->admitted_us = now_us;
    return 1;
}
