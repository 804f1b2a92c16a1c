/**
 * @file rollout_knowledge.h
 * @brief Whether a host knows enough of a roll-out to judge its target for all
 * hosts. Does no I/O and reads no clock.
 */
#ifndef PPS_ROLLOUT_ROLLOUT_KNOWLEDGE_H
#define PPS_ROLLOUT_ROLLOUT_KNOWLEDGE_H

#include <stdint.h>

/** What a host knows of a roll-out. */
typedef struct {
    int64_t known_us;     /**< when it learned of the roll-out */
    int64_t hears_all_us; /**< since when all hosts send it their reports; 0:
                               they don't */
    int is_complete;      /**< it has the counts of all that it hears, and of
                               processes that have ended */
} pps_rollout_knowledge_t;

/** What the live hosts have told. */
typedef struct {
    int hears_all;          /**< see pps_gossip_hears_all() */
    unsigned int live;      /**< other live hosts, as many as any host knows
                             */
    unsigned int untold;    /**< of these, those without a report yet */
    unsigned int differing; /**< of these, those that know other ended
                                 processes or other counts of them */
    unsigned int lost;      /**< processes that have told until lately and are
                                 not live any more */
} pps_rollout_neighbours_t;

/** Updates what a host knows. A host that has just started, or that others
 * have just begun to report to, judges once all have reported and their
 * knowledge of ended processes is its own, or after a longest
 * time if most have reported: others may take it for a host that they need not
 * report to. */
void
pps_rollout_knowledge_update(pps_rollout_knowledge_t *knowledge,
                             const pps_rollout_neighbours_t *neighbours,
                             int64_t now_us);

/** Returns whether the host does not hear most of those that have told of the
 * roll-out until lately. It knows too few requests to judge what is left of
 * the bound then. */
int
pps_rollout_knowledge_is_cut_off(const pps_rollout_neighbours_t *neighbours);

#endif
