/**
 * @file harness_cut.h
 * @brief A TCP forwarder whose connections can be closed or frozen.
 *
 * In front of a router's peer port it learns who dials from the hello, which
 * is in clear, so that each pair of hosts has a fault of its own.
 */
#ifndef PPS_TESTS_HARNESS_CUT_H
#define PPS_TESTS_HARNESS_CUT_H

/** Most hosts that are told apart; `e0` is 0. */
#define CUT_HOSTS_MAX 8

/** What happens to connections. */
typedef enum {
    CUT_PASS,
    CUT_CLOSED, /**< closed, new ones too */
    CUT_FROZEN, /**< open, but no byte passes until it is CUT_PASS again */
} cut_mode_t;

/** A forwarder with its thread. */
typedef struct cut cut_t;

/** Listens on a free port and forwards to `target_port` of 127.0.0.1. */
int
cut_new(cut_t **out, int target_port);

/** Ends the thread and closes all. NULL is allowed. */
void
cut_free(cut_t *cut);

/** The port that it listens on. */
int
cut_port(const cut_t *cut);

/** Changes where new connections go. */
void
cut_set_target(cut_t *cut, int target_port);

/** Sets what happens to all connections. */
void
cut_set(cut_t *cut, cut_mode_t mode);

/** Sets what happens to the connections that one host dials. */
void
cut_set_host(cut_t *cut, int host, cut_mode_t mode);

/** Freezes the connections there are for good; new ones pass. */
void
cut_lose_track(cut_t *cut);

/** Connections that are open, those lost track of left out. */
int
cut_connections(cut_t *cut);

#endif
