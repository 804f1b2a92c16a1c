/**
 * @file worker_limit.h
 * @brief The limit that a worker names: the requests a second that it takes
 * from all hosts together. Does no I/O and reads no clock.
 *
 * The hosts do not ask each other before they send. A few of them, no more
 * than the limit in requests a second, share it equally, and the others send
 * nothing to the worker. Each sender may save up one request, so that the sum
 * stays within the limit and a few requests, however many hosts there are.
 */
#ifndef PPS_POOL_WORKER_LIMIT_H
#define PPS_POOL_WORKER_LIMIT_H

#include <stdint.h>

/** A worker's limit as this host knows it. */
typedef struct {
    int is_named;
    double per_s;     /**< requests a second, of all hosts together */
    int64_t named_us; /**< when it was last named, to any host */
    double saved;     /**< requests that this host may send, at most 1 */
    int64_t saved_us; /**< time up to which `saved` is computed */
} pps_worker_limit_t;

/** This host's share of a limit. */
typedef struct {
    int is_sender;        /**< it may send to the worker */
    unsigned int senders; /**< hosts that may, itself included */
} pps_limit_share_t;

/** Notes that the worker named a limit. @return 1 if it changed, else 0 */
int
pps_worker_limit_name(pps_worker_limit_t *limit, double per_s, int64_t now_us);

/**
 * Notes an answer without a limit. It ends the limit if its request was sent
 * after the limit was last named: else the answer may be older than the limit.
 * @return 1 if the limit ended, else 0
 */
int
pps_worker_limit_end(pps_worker_limit_t *limit, int64_t sent_us);

/** Returns how many of `hosts` hosts share the limit. */
unsigned int
pps_worker_limit_count_senders(const pps_worker_limit_t *limit,
                               unsigned int hosts);

/** Returns the time until this host may send a request: 0 if it may now,
 * INT64_MAX if it is no sender. */
int64_t
pps_worker_limit_wait_us(pps_worker_limit_t *limit,
                         const pps_limit_share_t *share, int64_t now_us);

/** Counts a request that this host sends, if there is a limit. */
void
pps_worker_limit_take(pps_worker_limit_t *limit);

#endif
