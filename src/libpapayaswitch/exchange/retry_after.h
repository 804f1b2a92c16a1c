/**
 * @file retry_after.h
 * @brief When a refused caller is asked to come back. Pure.
 *
 * Load it answers: callers of a host that has just started, and crowds before
 * workers that are full. They come back when a place is expected to be free,
 * the more urgent ones first, and not all at the same moment; never later than
 * lets them be served.
 */
#ifndef PPS_EXCHANGE_RETRY_AFTER_H
#define PPS_EXCHANGE_RETRY_AFTER_H

#include <stdint.h>

/** Why a request is refused, not run. */
typedef enum {
    PPS_RETRY_AFTER_OTHER_HOST, /**< another host can serve it now */
    PPS_RETRY_AFTER_STARTING,  /**< this host doesn't know yet what to serve */
    PPS_RETRY_AFTER_NO_WORKER, /**< no worker that may serve it is known */
    PPS_RETRY_AFTER_FULL,      /**< its workers take no more now */
} pps_retry_after_reason_t;

/** What is known when a request is refused. Times in microseconds. */
typedef struct {
    pps_retry_after_reason_t reason;
    int64_t left_us;   /**< of the caller's time budget; 0: unknown */
    double busy;       /**< requests running and waiting at its workers */
    double slots;      /**< that they run at a time */
    double answer_us;  /**< usual time that a request keeps its slot */
    unsigned int rank; /**< urgency; 0 is the most urgent */
    double spread;     /**< random, 0 to 1 */
} pps_retry_after_t;

/** @return time from now until it should come back */
int64_t
pps_retry_after_compute(const pps_retry_after_t *comeback);

#endif
