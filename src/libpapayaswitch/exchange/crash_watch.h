/**
 * @file crash_watch.h
 * @brief Finds out whether a worker has ended when answers of it break off.
 *
 * An answer may also break off because a connection was reset on its way. The
 * worker has ended if its address refuses connections just after the break.
 */
#ifndef PPS_EXCHANGE_CRASH_WATCH_H
#define PPS_EXCHANGE_CRASH_WATCH_H

#include "exchange.h"

/** Notes that the current attempt broke off after its request was sent, and
 * probes the worker unless a probe of it is under way. Call it before the
 * attempt is dropped.
 * @return whether the request is under suspicion, so that it is not to be
 * repeated yet: pps_exchange_retry() is called when the probe has ended */
int
pps_crash_watch_note_break(pps_exchange_t *exchange);

/** Notes that the current attempt is dropped since nothing of its answer has
 * arrived for long. The worker may yet end under it, so it is probed after a
 * while. Call it before the attempt is dropped. */
void
pps_crash_watch_note_silence(pps_exchange_t *exchange);

/** Notes that the answer ended with its connection soon after its begin, and
 * probes the worker: it may have ended then. Call it before the attempt is
 * dropped. */
void
pps_crash_watch_note_end(pps_exchange_t *exchange);

#endif
