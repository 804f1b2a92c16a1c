/**
 * @file path_state.h
 * @brief Decides whether this host is cut off from all workers while other
 * hosts reach them. Does no I/O and reads no clock.
 *
 * Workers that have ended are not reached by anyone, and some workers may be
 * out of reach while others answer. Neither counts as a cut.
 */
#ifndef PPS_POOL_PATH_STATE_H
#define PPS_POOL_PATH_STATE_H

#include <stdint.h>

/** What this host knows of its paths. Zero-initialize it. */
typedef struct {
    unsigned int unreached; /**< workers in a row that it did not reach */
    uint64_t last_worker;   /**< digest of the last one */
    int64_t tried_us;       /**< when it tried to connect to that one */
    int is_confirmed;       /**< another host reached one of them meanwhile */
} pps_path_state_t;

/** Notes a worker that this host did not reach; one that fails several times
 * in a row counts once. @param tried_us when it tried to connect */
void
pps_path_state_note_unreached(pps_path_state_t *state, uint64_t worker,
                              int64_t tried_us);

/** Notes that another host reaches a worker that this one does not. */
void
pps_path_state_note_confirmed(pps_path_state_t *state);

/** Notes that this host reached a worker. A connection that is older than the
 * last failure says nothing of new ones. @param tried_us when it connected
 * @return whether it counts */
int
pps_path_state_note_reached(pps_path_state_t *state, int64_t tried_us);

/** Returns whether this host may be cut off: it did not reach the last few
 * workers, whatever the reason. */
int
pps_path_state_is_doubtful(const pps_path_state_t *state);

/** Returns whether this host is cut off. */
int
pps_path_state_is_cut(const pps_path_state_t *state);

#endif
