/**
 * @file harness_forwarder.h
 * @brief A TCP forwarder that closes or freezes connections, to inject faults.
 *
 * In front of a router's peer port it reads the id of the dialling host from
 * the hello frame, which is not encrypted. Each pair of hosts can therefore
 * have a fault of its own.
 */
#ifndef PPS_TESTS_HARNESS_FORWARDER_H
#define PPS_TESTS_HARNESS_FORWARDER_H

/** Most hosts with a mode of their own; `e0` has the index 0. */
#define FORWARDER_HOSTS_MAX 8

/** What the forwarder does with connections. */
typedef enum {
    FORWARDER_PASS,
    FORWARDER_CLOSED, /**< closes existing and new connections */
    FORWARDER_FROZEN, /**< keeps them open and forwards nothing */
} forwarder_mode_t;

/** A forwarder with its thread. */
typedef struct forwarder forwarder_t;

/** Listens on a free port and forwards to `target_port` of 127.0.0.1. */
int
forwarder_new(forwarder_t **out, int target_port);

/** Stops the thread and closes all connections. NULL is allowed. */
void
forwarder_free(forwarder_t *forwarder);

/** Returns the port that it listens on. */
int
forwarder_port(const forwarder_t *forwarder);

/** Changes the target port of new connections. */
void
forwarder_set_target(forwarder_t *forwarder, int target_port);

/** Sets the mode of all connections. */
void
forwarder_set_mode(forwarder_t *forwarder, forwarder_mode_t mode);

/** Sets the mode of the connections that one host opened; the mode of all
 * connections takes precedence unless it is FORWARDER_PASS. */
void
forwarder_set_host_mode(forwarder_t *forwarder, int host,
                        forwarder_mode_t mode);

/** Freezes the open connections permanently; new ones are forwarded. */
void
forwarder_freeze_open(forwarder_t *forwarder);

/** Returns the number of open connections that are not frozen permanently. */
int
forwarder_connection_count(forwarder_t *forwarder);

#endif
