/**
 * @file worker_permits.h
 * @brief Bounds what all hosts together have at a brittle worker, one that
 * ends when it has to reject more than a few requests in a second. Does no I/O
 * and reads no clock.
 *
 * Designed for many hosts that overload the same workers. What counts is what
 * is at the worker, not how often it is called: pauses after a rejection bring
 * all hosts back at once. The permits are the worker's slots, since its queue
 * may shrink, and less once it rejects. Hosts divide them by a hash that all
 * agree on, without asking each other, so that the sum is bounded whatever a
 * host knows of the worker's load.
 */
#ifndef PPS_POOL_WORKER_PERMITS_H
#define PPS_POOL_WORKER_PERMITS_H

#include "host_rank.h"

#include <stdint.h>

/** What a worker last said, to any host. Zero: nothing since its start. */
typedef struct {
    int is_brittle;
    int64_t named_us;    /**< when it last said so */
    int64_t denied_us;   /**< when the last request was sent whose answer did
                              not say so; 0: none */
    double level;        /**< permits after its last rejection */
    int64_t rejected_us; /**< when they were last lowered; 0: never */
} pps_worker_permits_t;

/** By what right a request was sent to a worker. */
typedef enum {
    PPS_PERMIT_NOT_NEEDED, /**< it was not taken for brittle */
    PPS_PERMIT_OWN,        /**< one of this host's part */
    PPS_PERMIT_BORROWED,   /**< another host sends it with its own */
} pps_permit_use_t;

/** Notes that the worker says that it is brittle.
 * @return 1 if that is new, else 0 */
int
pps_worker_permits_name(pps_worker_permits_t *permits, int64_t now_us);

/** Notes an answer that does not say so. It counts if its request was sent
 * after the worker last said it. @return 1 if that ended it, else 0 */
int
pps_worker_permits_end(pps_worker_permits_t *permits, int64_t sent_us);

/** Notes that the worker rejected a request for lack of room. Rejections of
 * requests that were under way together lower the permits once.
 * @param held requests that were at it */
void
pps_worker_permits_reject(pps_worker_permits_t *permits, double held,
                          unsigned int slots, int64_t now_us);

/** Returns what a rejecting worker has to have held for hosts to give it so
 * many permits after that. */
double
pps_worker_permits_held_for(double total);

/** Returns the permits of all hosts together. */
double
pps_worker_permits_total(const pps_worker_permits_t *permits,
                         unsigned int slots, int64_t now_us);

/** The permits of a worker. A request takes as many as its size is. */
typedef struct {
    double total;         /**< of all hosts together */
    unsigned int largest; /**< size of the largest requests: a host's part
                               takes at least one of them */
} pps_permit_pool_t;

/** Returns how many hosts, the first ones by rank, have a part of the permits.
 * Hosts that were known lately and are not heard any more keep theirs: they
 * may be cut off and still send. */
unsigned int
pps_permit_holders(const pps_permit_pool_t *pool, const pps_host_rank_t *rank);

/** Returns this host's part of the permits. */
unsigned int
pps_permit_part(const pps_permit_pool_t *pool, const pps_host_rank_t *rank);

#endif
