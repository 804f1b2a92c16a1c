/**
 * @file catch_up.h
 * @brief How a host brings a copy of a topic up to date that is older than
 * another host's. Pure.
 *
 * Load it answers: many changes at once, whose datagrams are lost at the
 * readers' own links. All hosts that then asked one reader for its whole copy
 * would wait for each other; the store answers each with what it missed.
 */
#ifndef PPS_MIRROR_CATCH_UP_H
#define PPS_MIRROR_CATCH_UP_H

#include <stdint.h>

/** What to do; none: what is missing is likely on its way. */
typedef enum {
    PPS_CATCH_UP_FROM_STORE =
        1,                      /**< read the store from where the copy ends */
    PPS_CATCH_UP_FROM_PEER = 2, /**< ask another host for its copy */
} pps_catch_up_t;

/** A copy that may be old. */
typedef struct {
    int is_behind;     /**< another host's copy is newer */
    int is_urgent;     /**< newer records must not be waited for */
    int has_gap;       /**< a record passed on showed that one is missing */
    int64_t behind_us; /**< for how long it has been behind */
    int is_loaded;     /**< the copy has been listed once */
    int store_failing; /**< the store does not answer this host */
} pps_lag_t;

/** @return what to do now, of pps_catch_up_t */
unsigned int
pps_catch_up_choose(const pps_lag_t *lag);

#endif
