/**
 * @file path_watch.h
 * @brief Finds out which workers this host does not reach while other hosts
 * do, and when their paths are back.
 *
 * A worker that this host does not reach may have ended. So a neighbour is
 * asked; requests wait for none of that. Lost paths are tried in the
 * background, so that no request has to.
 */
#ifndef PPS_EXCHANGE_PATH_WATCH_H
#define PPS_EXCHANGE_PATH_WATCH_H

#include "dispatcher.h"
#include "transport/connect_probe.h"

/** Notes that connecting to a worker failed. @param tried_us when it began */
void
pps_path_watch_note_unreached(pps_dispatcher_t *dispatcher,
                              pps_pool_worker_t *worker, int64_t tried_us);

/** Notes that this host reached a worker by itself.
 * @param tried_us when it connected */
void
pps_path_watch_note_reached(pps_dispatcher_t *dispatcher,
                            pps_pool_worker_t *worker, int64_t tried_us);

/** Returns whether this host is cut off from all workers, while other hosts
 * reach them. */
int
pps_path_watch_is_cut(const pps_dispatcher_t *dispatcher);

/** Returns whether this host takes calls to workers for other hosts. One that
 * did not reach the last few workers does not: if these have ended, no host
 * hands calls on. */
int
pps_path_watch_takes_relays(const pps_dispatcher_t *dispatcher);

/** Returns whether calls to the worker have to go through a neighbour. */
int
pps_path_watch_is_lost(const pps_dispatcher_t *dispatcher,
                       const pps_pool_worker_t *worker);

/** Returns whether no call can go to a worker now: this host is cut off, and
 * no neighbour that the filter accepts can take calls for it.
 * @param filter NULL: any may */
int
pps_path_watch_is_out_of_reach(pps_dispatcher_t *dispatcher,
                               const pps_neighbour_filter_t *filter);

/** Asks a neighbour whether it reaches a worker.
 * @return 0, PPS_ENOTFOUND if there is no neighbour, or another error; then
 * nothing is reported */
int
pps_path_watch_ask(pps_dispatcher_t *dispatcher, uint64_t worker_digest,
                   pps_probe_fn done, void *user);

#endif
