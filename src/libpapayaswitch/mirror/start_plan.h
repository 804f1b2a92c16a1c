/**
 * @file start_plan.h
 * @brief Decides when a host that starts lists the store's topics. Does no I/O
 * and reads no clock.
 *
 * The listing of 3,000 workers and a large configuration is 1.7 MB. When many
 * hosts start at once, a few of them list, and the others get their copies
 * from hosts that have them. Which ones follows from a hash of the addresses
 * that the store has, so that the hosts need not agree. Some of these hosts
 * may be gone: the next ones in rank list a little later, until copies spread.
 */
#ifndef PPS_MIRROR_START_PLAN_H
#define PPS_MIRROR_START_PLAN_H

#include <stdint.h>

/** What a host that starts knows. */
typedef struct {
    int64_t elapsed_us;  /**< since the start */
    int64_t listed_us;   /**< `elapsed_us` when the store's list of hosts had
                              been read; negative: not yet */
    int is_failing;      /**< the list of hosts could not be read */
    unsigned int hosts;  /**< that are known, this one included */
    unsigned int before; /**< how many of them rank before this one */
    int is_link_fast;    /**< it can list faster than most */
    int has_source;      /**< a live host has the copies */
} pps_start_state_t;

/** Returns a host's rank, which is less for those that list first. */
uint64_t
pps_start_rank(const char *address);

/** Returns whether a host that lacks its copies may list the store's topics
 * now. Few hosts list at once, as soon as they know that they are few. */
int
pps_start_may_list(const pps_start_state_t *state);

#endif
