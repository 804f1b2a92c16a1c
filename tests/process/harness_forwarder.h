/**
 * @file harness_forwarder.h
 * @brief A TCP forwarder whose connections can be closed or frozen.
 *
 * In front of a router's peer port it learns who dials from the hello, which
 * is in clear, so that each pair of hosts has a fault of its own.
 */
#ifndef PPS_TESTS_HARNESS_FORWARDER_H
#define PPS_TESTS_HARNESS_FORWARDER_H

/** Most hosts that are told apart; `e0` is 0. */
#define FORWARDER_HOSTS_MAX 8

/** What happens to connections. */
typedef enum {
    FORWARDER_PASS,
    FORWARDER_CLOSED, /**< closed, new ones too */
    FORWARDER_FROZEN, /**< open, but no byte passes until it is FORWARDER_PASS
                         again */
} forwarder_mode_t;

/** A forwarder with its thread. */
typedef struct forwarder forwarder_t;

/** Listens on a free port and forwards to `target_port` of 127.0.0.1. */
int
forwarder_new(forwarder_t **out, int target_port);

/** Ends the thread and closes all. NULL is allowed. */
void
forwarder_free(forwarder_t *cut);

/** The port that it listens on. */
int
forwarder_port(const forwarder_t *cut);

/** Changes where new connections go. */
void
forwarder_set_target(forwarder_t *cut, int target_port);

/** Sets what happens to all connections. */
void
forwarder_set_mode(forwarder_t *cut, forwarder_mode_t mode);

/** Sets what happens to the connections that one host dials. */
void
forwarder_set_host_mode(forwarder_t *cut, int host, forwarder_mode_t mode);

/** Freezes the connections there are for good; new ones pass. */
void
forwarder_freeze_open(forwarder_t *cut);

/** Connections that are open, those lost track of left out. */
int
forwarder_connection_count(forwarder_t *cut);

#endif
