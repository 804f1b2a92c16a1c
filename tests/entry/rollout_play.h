/**
 * @file rollout_play.h
 * @brief Plays the roll-out of a version before whole hosts, with callers
 * whose sessions follow what each host decides.
 *
 * Runs on node_play.h. What the hosts promise is counted from outside, by the
 * requests that were sent, not from what the hosts remember.
 */
#ifndef PPS_TESTS_ENTRY_ROLLOUT_PLAY_H
#define PPS_TESTS_ENTRY_ROLLOUT_PLAY_H

#include "node_play.h"

#define ROLLOUT_PLAY_DURATION_MS 24000
#define ROLLOUT_PLAY_ORDER_MS 4000

/** What happens to the hosts while the roll-out is active. */
typedef enum {
    ROLLOUT_PLAY_NOTHING,
    ROLLOUT_PLAY_RESTARTS,     /**< one host stops and starts again */
    ROLLOUT_PLAY_TWO_RESTARTS, /**< two at once */
    ROLLOUT_PLAY_TURNS,        /**< all in turn */
    ROLLOUT_PLAY_KILLS,        /**< a host is killed and comes back */
    ROLLOUT_PLAY_LOSSES,       /**< hosts are killed for good */
    ROLLOUT_PLAY_ADDITIONS,    /**< hosts are added */
    ROLLOUT_PLAY_HERD,         /**< all hosts are killed at once */
    ROLLOUT_PLAY_OUTAGE,       /**< hosts start while the store is down, after
                                    sessions have moved */
    ROLLOUT_PLAY_NO_STATUS, /**< the same, and the store has taken no status */
    ROLLOUT_PLAY_RESTORE,   /**< the store comes back from a backup */
    ROLLOUT_PLAY_ANYTHING,  /**< all of it and cuts, pauses and lost
                                 messages in random order */
} rollout_play_fault_t;

typedef struct {
    const char *name;
    unsigned int hosts;
    unsigned int added; /**< of these, those that start in the roll-out */
    rollout_play_fault_t fault;
    int is_bad; /**< the target fails half of its requests */
} rollout_play_options_t;

/** Plays one roll-out. What is wrong stands in node_play->finding. */
void
rollout_play_run(const rollout_play_options_t *options, uint64_t seed);

#endif
