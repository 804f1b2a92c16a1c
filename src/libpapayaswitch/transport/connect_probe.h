/**
 * @file connect_probe.h
 * @brief Finds out whether an address accepts connections, without a call.
 */
#ifndef PPS_TRANSPORT_CONNECT_PROBE_H
#define PPS_TRANSPORT_CONNECT_PROBE_H

#include "reactor.h"

/** Result of a probe. */
typedef enum {
    PPS_PROBE_ACCEPTED,
    PPS_PROBE_REFUSED,    /**< no process listens at the address */
    PPS_PROBE_UNANSWERED, /**< no answer in time, or the address is not
                               reachable from this host */
} pps_probe_result_t;

typedef void (*pps_probe_fn)(void *user, pps_probe_result_t result);

/** Connects to an address, closes the connection and reports the result once.
 * The probe frees itself. @param address IPv4:PORT @param local_address IPv4
 * address to connect from; NULL: any
 * @return 0; PPS_EINVALID, PPS_ENOMEM or PPS_EIO, then nothing is reported */
int
pps_connect_probe_start(pps_reactor_t *reactor, const char *address,
                        const char *local_address, int64_t timeout_us,
                        pps_probe_fn done, void *user);

#endif
