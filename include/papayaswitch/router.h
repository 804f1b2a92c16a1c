/**
 * @file router.h
 * @brief One entry host: everything that `papayaswitchd` runs.
 */
#ifndef PAPAYASWITCH_ROUTER_H
#define PAPAYASWITCH_ROUTER_H

#include "papayaswitch/settings.h"

/** A host. */
typedef struct pps_router pps_router_t;

/** Ports in use once started. */
typedef struct {
    unsigned int http;
    unsigned int operator_port;
    unsigned int peer;
} pps_router_ports_t;

/** Makes a host from settings, which are copied. */
int
pps_router_new(pps_router_t **out, const pps_settings_t *settings);

/** Binds the ports and starts the threads. */
int
pps_router_start(pps_router_t *router);

/** The ports in use. */
void
pps_router_ports(const pps_router_t *router, pps_router_ports_t *out);

/** Announces the leaving: not ready, no new request. Returns at once. */
void
pps_router_drain(pps_router_t *router);

/**
 * Whether a drained host has nothing left to lose: no request in progress,
 * no bill and no outcome that only it holds.
 */
int
pps_router_is_drained(pps_router_t *router);

/** Stops the threads and frees. NULL is allowed. */
void
pps_router_free(pps_router_t *router);

#endif
