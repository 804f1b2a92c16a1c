/**
 * @file brittle_play_hosts.h
 * @brief The hosts of a play of brittle workers: they tell each other what
 * workers say, rank for workers and send with each other's permits.
 */
#ifndef PPS_TESTS_ENTRY_BRITTLE_PLAY_HOSTS_H
#define PPS_TESTS_ENTRY_BRITTLE_PLAY_HOSTS_H

#include "exchange/relay_desk.h"
#include "net.h"
#include "relay/relay_server.h"
#include "rng.h"

#define BRITTLE_HOSTS_MAX 400

/** How the hosts of a play are set up. */
typedef struct {
    unsigned int count;
    int loses_notices; /**< one in so many; 0: none */
    int hands_on;      /**< hosts without a permit ask others */
    int is_settled;    /**< they have run for long enough to know each other */
} brittle_hosts_options_t;

/** Starts hosts without workers, in place of those of the last play. */
void
brittle_hosts_start(pps_reactor_t *reactor,
                    const brittle_hosts_options_t *options);

/** Brings the record of a worker to all hosts. */
void
brittle_hosts_put(const pps_worker_info_t *info);

/** Takes a worker off the lists of all hosts. */
void
brittle_hosts_remove(const char *id);

/** Adds a host that does not know the others for longer than a moment. It has
 * no workers yet. */
void
brittle_hosts_add(void);

/** Ends a host. What it has at workers goes on. */
void
brittle_hosts_end(unsigned int index);

/** Cuts the hosts into two halves that do not hear each other. */
void
brittle_hosts_cut(void);

/** Does the periodic work of all hosts. */
void
brittle_hosts_step(void);

/** Returns where one of the hosts, drawn at random, takes requests. */
pps_http_server_t *
brittle_hosts_draw(pps_rng_t *rng);

#endif
