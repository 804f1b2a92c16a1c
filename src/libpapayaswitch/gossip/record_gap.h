/**
 * @file record_gap.h
 * @brief Detects that forwarded records were lost, and times the requests for
 * them.
 */
#ifndef PPS_GOSSIP_RECORD_GAP_H
#define PPS_GOSSIP_RECORD_GAP_H

#include "gossip.h"

/** What a received record is to a copy of its topic. */
typedef enum {
    PPS_RECORD_SKIPPED,   /**< known already, or of another epoch */
    PPS_RECORD_AFTER_GAP, /**< an earlier one is missing */
    PPS_RECORD_NEXT,
} pps_record_judgement_t;

/** The requests for one topic's missing records. Zero-initialized at first. */
typedef struct {
    int is_asking; /**< a request was sent; set by the owner */
    unsigned int attempts;
    int64_t next_us; /**< earliest time of the next request */
} pps_record_repair_t;

/** Judges a record by a copy's epoch, end and relevant end. */
pps_record_judgement_t
pps_record_gap_judge(const pps_gossip_record_t *record, int64_t epoch,
                     int64_t end, int64_t relevant_end);

/**
 * Decides whether records are requested now.
 * @param is_behind records are missing that a relay may have
 * @param has_gap a later record has arrived; else other hosts state that they
 *        have more, which may still be on its way
 * @param behind_us for how long they have been missing
 * @return the number of the attempt, 0 first, or -1
 */
int
pps_record_repair_step(pps_record_repair_t *repair, int is_behind, int has_gap,
                       int64_t behind_us, int64_t now_us);

#endif
