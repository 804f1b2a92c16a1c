/** @file record_gap.c @brief Detects lost records. */
#include "record_gap.h"

#include "clock.h"

/** Time that the answer to a request normally takes, between failure domains
 * too. Three hosts can be asked before the store is read after 400 ms. */
#define REQUEST_INTERVAL_US (120 * PPS_US_PER_MS)
/** Time in which a record normally arrives that other hosts have. */
#define ARRIVAL_US (150 * PPS_US_PER_MS)

pps_record_judgement_t
pps_record_gap_judge(const pps_gossip_record_t *record, int64_t epoch,
                     int64_t end, int64_t relevant_end)
{
    if (record->epoch != epoch || record->offset < relevant_end) {
        return PPS_RECORD_SKIPPED;
    }
    return end < record->relevant_end_before ? PPS_RECORD_AFTER_GAP
                                             : PPS_RECORD_NEXT;
}

int
pps_record_repair_step(pps_record_repair_t *repair, int is_behind, int has_gap,
                       int64_t behind_us, int64_t now_us)
{
    if (!is_behind) {
        *repair = (pps_record_repair_t){.next_us = repair->next_us};
        return -1;
    }
    if (now_us < repair->next_us || (!has_gap && behind_us < ARRIVAL_US)) {
        return -1;
    }
    repair->next_us = now_us + REQUEST_INTERVAL_US;
    return (int)repair->attempts++;
}
