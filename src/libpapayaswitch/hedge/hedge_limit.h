/**
 * @file hedge_limit.h
 * @brief Limits copies to a share of this host's requests, and gives them to
 * the requests that wait longest beyond the usual. Does no I/O and reads no
 * clock.
 *
 * Each request of a caller adds `share` to a bucket that is empty at first;
 * each copy takes 1. A host thus never sends more copies than its share of its
 * own requests, and neither do all hosts together, whoever is cut off. When
 * the bucket is empty, slow requests wait in a list; what is added later goes
 * to the one whose wait is the largest multiple of its usual wait.
 */
#ifndef PPS_HEDGE_HEDGE_LIMIT_H
#define PPS_HEDGE_HEDGE_LIMIT_H

#include <stdint.h>
#include <urcu/list.h>

/** A slow request for which no copy is allowed yet. Zero-initialize. */
typedef struct {
    struct cds_list_head node;
    int64_t sent_us;  /**< begin of its wait */
    int64_t usual_us; /**< wait after which it is slow */
    void *owner;
} pps_hedge_waiter_t;

/** The copies that an upstream's requests allow. */
typedef struct {
    double copies; /**< allowed now */
    struct cds_list_head waiters;
} pps_hedge_limit_t;

/** Initializes a limit without allowed copies. */
void
pps_hedge_limit_init(pps_hedge_limit_t *limit);

/** Counts a request of a caller. @param share copies per request */
void
pps_hedge_limit_count_request(pps_hedge_limit_t *limit, double share);

/** Returns whether a copy is allowed now. */
int
pps_hedge_limit_is_open(const pps_hedge_limit_t *limit);

/** Counts a copy. Call it only if pps_hedge_limit_is_open(). */
void
pps_hedge_limit_take(pps_hedge_limit_t *limit);

/** Adds a waiter; does nothing if it waits already. */
void
pps_hedge_limit_add_waiter(pps_hedge_limit_t *limit,
                           pps_hedge_waiter_t *waiter);

/** Removes a waiter; does nothing if it does not wait. */
void
pps_hedge_limit_remove_waiter(pps_hedge_waiter_t *waiter);

/** Removes and returns the waiter whose wait exceeds its usual wait most, if
 * a copy is allowed; else NULL. */
pps_hedge_waiter_t *
pps_hedge_limit_next(pps_hedge_limit_t *limit, int64_t now_us);

#endif
