/**
 * @file relay_desk.h
 * @brief Decides on calls to workers that this host takes for other hosts, and
 * notes what it learns of the workers from them.
 */
#ifndef PPS_EXCHANGE_RELAY_DESK_H
#define PPS_EXCHANGE_RELAY_DESK_H

#include "dispatcher.h"
#include "relay/relay_server.h"

/** Returns whether calls are taken for the host at an IPv4 address. */
typedef int (*pps_relay_knows_fn)(void *user, const char *address);

/** The owner of a relay server. */
typedef struct {
    pps_dispatcher_t *dispatcher;
    pps_relay_knows_fn knows;
    void *user;
} pps_relay_desk_t;

/** For pps_relay_server_new(); `user` is a pps_relay_desk_t. Calls go to
 * workers that this host would send its own requests to. */
extern const pps_relay_ops_t pps_relay_desk_ops;

#endif
