/**
 * @file neighbours.h
 * @brief Chooses the host that takes a call to a worker for this one.
 *
 * Designed for a few hosts that carry the calls of many: of two drawn at
 * random, the one with fewer calls of this host is chosen. Does no I/O.
 */
#ifndef PPS_RELAY_NEIGHBOURS_H
#define PPS_RELAY_NEIGHBOURS_H

#include "rng.h"
#include "table.h"

#include <stddef.h>
#include <stdint.h>

#define PPS_NEIGHBOUR_ADDRESS_BYTES 80
/** Most hosts that are chosen among. */
#define PPS_NEIGHBOURS_MAX 2048

/** Another host. Kept once it has been chosen. */
typedef struct {
    pps_table_item_t item;
    char address[PPS_NEIGHBOUR_ADDRESS_BYTES]; /**< IPv4:PORT of its relay */
    unsigned int calls;      /**< of this host that it has under way */
    unsigned int unanswered; /**< workers in a row that it did not reach */
    int64_t unusable_until_us;
} pps_neighbour_t;

/** Restricts the hosts that may take a call. */
typedef struct {
    int (*accepts)(const void *user, const char *failure_domain);
    const void *user;
    /** Hosts that are preferred: the first so many by their rank for the key
     * among those that can have a share of a worker; 0: no preference. */
    unsigned int first;
    uint64_t key;              /**< digest of the worker's id */
    const char *worker_domain; /**< failure domain of the worker */
} pps_neighbour_filter_t;

/** Lists the addresses of hosts that can take calls and that the filter
 * accepts (NULL: all of them). Each is valid until the
 * function returns to the event loop. @return how many there are */
typedef size_t (*pps_neighbours_list_fn)(
    void *user, const pps_neighbour_filter_t *filter,
    char (*out)[PPS_NEIGHBOUR_ADDRESS_BYTES], size_t max);

/** All neighbours of this host. */
typedef struct {
    pps_table_t table;           /**< by address */
    pps_neighbours_list_fn list; /**< NULL: this host is the only one */
    void *user;
} pps_neighbours_t;

/** Returns whether a host may take a call. @param filter NULL: any may */
int
pps_neighbour_filter_accepts(const pps_neighbour_filter_t *filter,
                             const char *failure_domain);

/** Chooses a neighbour; NULL if none is usable. Those that the filter prefers
 * are chosen as long as one of them is usable. @param filter or NULL */
pps_neighbour_t *
pps_neighbours_choose(pps_neighbours_t *neighbours,
                      const pps_neighbour_filter_t *filter, pps_rng_t *rng,
                      int64_t now_us);

/** Returns whether a neighbour is usable. @param filter or NULL */
int
pps_neighbours_has_any(pps_neighbours_t *neighbours,
                       const pps_neighbour_filter_t *filter, int64_t now_us);

/** Notes that a neighbour did not answer or takes no calls: it is not chosen
 * for a time. */
void
pps_neighbour_note_failed(pps_neighbour_t *neighbour, int64_t now_us);

/** Notes that a neighbour did not reach a worker either. If that happens more
 * than once, its own path may be lost. */
void
pps_neighbour_note_unreached(pps_neighbour_t *neighbour, int64_t now_us);

/** Notes that a neighbour reached a worker. */
void
pps_neighbour_note_reached(pps_neighbour_t *neighbour);

#endif
