/**
 * @file signal_hold.h
 * @brief Holds signals back while a process starts.
 *
 * A process that gets one of its signals before it handles them would end.
 * Held signals are delivered when the hold ends.
 */
#ifndef PPS_TRANSPORT_SIGNAL_HOLD_H
#define PPS_TRANSPORT_SIGNAL_HOLD_H

/** Holds SIGHUP and SIGTERM back. Call it before any thread starts.
 * @return 0 or PPS_EIO */
int
pps_signal_hold(void);

/** Ends the hold, once both signals are handled. @return 0 or PPS_EIO */
int
pps_signal_release(void);

#endif
