/**
 * @file router.h
 * @brief Runs an entry host inside `papayaswitchd`.
 */
#ifndef PAPAYASWITCH_ROUTER_H
#define PAPAYASWITCH_ROUTER_H

#include "papayaswitch/settings.h"

/** An entry host. */
typedef struct pps_router pps_router_t;

/** Ports of a started host. */
typedef struct {
    unsigned int http;
    unsigned int operator_port;
    unsigned int peer;
} pps_router_ports_t;

/** Creates a host. Copies the settings. */
int
pps_router_new(pps_router_t **out, const pps_settings_t *settings);

/** Binds the ports and starts the threads. */
int
pps_router_start(pps_router_t *router);

/** Writes the ports in use. Call it after pps_router_start(). */
void
pps_router_ports(const pps_router_t *router, pps_router_ports_t *out);

/** Stops admission: reports not ready, refuses requests. Does not block. */
void
pps_router_drain(pps_router_t *router);

/**
 * Checks whether a draining host may stop without loss: it has no request in
 * progress, and no bill or outcome that only it holds.
 */
int
pps_router_is_drained(pps_router_t *router);

/** Stops the threads and frees the host. NULL is allowed. */
void
pps_router_free(pps_router_t *router);

#endif
