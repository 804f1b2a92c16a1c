/**
 * @file worker_limit.h
 * @brief The limit that a worker names: the requests a second that it takes
 * from all hosts together. Does no I/O and reads no clock.
 */
#ifndef PPS_POOL_WORKER_LIMIT_H
#define PPS_POOL_WORKER_LIMIT_H

#include <stdint.h>

/** A worker's limit as this host knows it. */
typedef struct {
    int is_named;
    double per_s;     /**< requests a second, of all hosts together */
    int64_t named_us; /**< when it was last named, to any host */
} pps_worker_limit_t;

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

#endif
