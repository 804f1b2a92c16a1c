/**
 * @file worker_gate.h
 * @brief Reasons not to send to a worker now, as one table of functions.
 *
 * The choice of a worker, the calls that this host takes for others, and
 * Retry-After read the same answers. Each reason is a gate of its own module.
 */
#ifndef PPS_EXCHANGE_WORKER_GATE_H
#define PPS_EXCHANGE_WORKER_GATE_H

#include "exchange.h"

/** What a gate answers, from the least to the most restrictive. */
typedef enum {
    PPS_GATE_OPEN,       /**< this host may send now */
    PPS_GATE_AVOIDED,    /**< it may if no other worker is left */
    PPS_GATE_CLOSED,     /**< not before a time */
    PPS_GATE_OTHER_HOST, /**< only other hosts may send now */
    PPS_GATE_NEVER,      /**< not this worker for this request */
} pps_gate_state_t;

/** What a gate refers to. */
typedef enum {
    PPS_GATE_OF_WORKER = 1,  /**< the worker's state */
    PPS_GATE_OF_SHARE = 2,   /**< this host's share of what the worker takes;
                                  another host may have one */
    PPS_GATE_OF_PERMITS = 4, /**< the same, by the size of the request, which a
                                  call of another host states apart */
} pps_gate_kind_t;

/** All of this host's shares. */
#define PPS_GATES_OF_SHARES (PPS_GATE_OF_SHARE | PPS_GATE_OF_PERMITS)
#define PPS_GATES_ALL (PPS_GATE_OF_WORKER | PPS_GATES_OF_SHARES)

/** The answer of one or several gates. */
typedef struct {
    pps_gate_state_t state;
    int64_t opens_us;   /**< when it opens, on the reactor's clock; 0: unknown
                             or not closed */
    const char *reason; /**< name of the gate; "" if open */
} pps_gate_answer_t;

/** A reason not to send to a worker. */
typedef struct {
    const char *name;
    pps_gate_kind_t kind;
    /** Answers for a request, or for a call of another host (NULL). `out` is
     * open at first; an open gate leaves it as it is. */
    void (*check)(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
                  pps_pool_worker_t *worker, const pps_exchange_t *exchange);
    /** Counts a request that this host sends to the worker; NULL: no need. */
    void (*take)(const pps_dispatcher_t *dispatcher,
                 pps_pool_worker_t *worker);
    /** Returns how many hosts, the first ones by rank, have a share of the
     * worker; NULL: not told by rank. */
    unsigned int (*count_holders)(const pps_dispatcher_t *dispatcher,
                                  pps_pool_worker_t *worker);
} pps_worker_gate_t;

/** Asks all gates of these kinds; the most restrictive answer counts, and of
 * closed ones the one that opens last.
 * @param exchange the request; NULL: a call of another host
 * @param kinds pps_gate_kind_t, or-ed */
void
pps_worker_gates_check(pps_gate_answer_t *out,
                       const pps_dispatcher_t *dispatcher,
                       pps_pool_worker_t *worker,
                       const pps_exchange_t *exchange, unsigned int kinds);

/** Returns whether this host may send a request to the worker as far as shares
 * are concerned. @param exchange the request; NULL: a call of another host */
int
pps_worker_has_share(const pps_dispatcher_t *dispatcher,
                     pps_pool_worker_t *worker,
                     const pps_exchange_t *exchange);

/** Returns how many hosts, the first ones by rank, have a share of the worker,
 * if this host has none; 0: unknown. */
unsigned int
pps_worker_gates_count_holders(const pps_dispatcher_t *dispatcher,
                               pps_pool_worker_t *worker);

/** Counts a request that this host sends to the worker with its own share. */
void
pps_worker_gates_take(const pps_dispatcher_t *dispatcher,
                      pps_pool_worker_t *worker);

#endif
