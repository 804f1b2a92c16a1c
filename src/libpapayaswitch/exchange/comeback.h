/**
 * @file comeback.h
 * @brief When a refused caller is asked to come back. Pure.
 *
 * Load it answers: callers of a host that has just started, and crowds before
 * workers that are full. They come back when a place is expected to be free,
 * the more urgent ones first, and not all at the same moment; never later than
 * lets them be served.
 */
#ifndef PPS_EXCHANGE_COMEBACK_H
#define PPS_EXCHANGE_COMEBACK_H

#include <stdint.h>

/** Why a request is refused, not run. */
typedef enum {
    PPS_COMEBACK_ELSEWHERE, /**< another host can serve it now */
    PPS_COMEBACK_STARTING,  /**< this host doesn't know yet what to serve */
    PPS_COMEBACK_NO_WORKER, /**< no worker that may serve it is known */
    PPS_COMEBACK_FULL,      /**< its workers take no more now */
} pps_comeback_reason_t;

/** What is known when a request is refused. Times in microseconds. */
typedef struct {
    pps_comeback_reason_t reason;
    int64_t left_us;   /**< of the caller's time budget; 0: unknown */
    double busy;       /**< requests running and waiting at its workers */
    double slots;      /**< that they run at a time */
    double answer_us;  /**< usual time that a request keeps its slot */
    unsigned int rank; /**< urgency; 0 is the most urgent */
    double spread;     /**< random, 0 to 1 */
} pps_comeback_t;

/** @return time from now until it should come back */
int64_t
pps_comeback_us(const pps_comeback_t *comeback);

#endif
