/**
 * @file retry_after.h
 * @brief Computes the retry time sent to a refused caller. Does no I/O and
 * reads no clock.
 *
 * Designed for the callers of a host that has just started, and for many
 * callers at once whose workers are full. The retry is due when a slot is
 * expected to be free, earlier for more urgent requests, with a random spread,
 * and early enough before the deadline for the request to be served. If all
 * workers have asked for a pause, the retry is due when the first one ends,
 * even if that is after the deadline: an earlier retry would be refused again.
 */
#ifndef PPS_EXCHANGE_RETRY_AFTER_H
#define PPS_EXCHANGE_RETRY_AFTER_H

#include <stdint.h>

/** Why a request is refused without being run. */
typedef enum {
    PPS_RETRY_AFTER_OTHER_HOST, /**< another host can serve it now */
    PPS_RETRY_AFTER_STARTING,   /**< this host has no deployment yet */
    PPS_RETRY_AFTER_NO_WORKER,  /**< no worker that could serve it is known */
    PPS_RETRY_AFTER_FULL,       /**< its workers accept no more requests now */
} pps_retry_after_reason_t;

/** State of a refused request and of its workers. */
typedef struct {
    pps_retry_after_reason_t reason;
    int64_t time_left_us; /**< time until the deadline; 0: unknown */
    double busy;          /**< requests running and waiting at the workers */
    double slots;         /**< requests that the workers run concurrently */
    double answer_us;     /**< usual time that a request occupies a slot */
    unsigned int rank;    /**< priority rank; 0 is the most urgent */
    double spread;        /**< random number, 0 to 1 */
    int64_t opens_us;     /**< time until the first of the pauses that all
                               workers asked for ends; 0: not all did */
} pps_retry_after_t;

/** Computes the time until the caller should retry, in microseconds. */
int64_t
pps_retry_after_compute(const pps_retry_after_t *request);

#endif
