/**
 * @file brittle_worker.h
 * @brief A worker that runs as many requests at once as its slots and its
 * memory take, lets a few wait, rejects the others, and ends for a while if it
 * has to reject too many in a second.
 */
#ifndef PPS_TESTS_ENTRY_BRITTLE_WORKER_H
#define PPS_TESTS_ENTRY_BRITTLE_WORKER_H

#include "net.h"
#include "transport/http_server.h"

#define BRITTLE_REJECTIONS_MAX 64

/** Its capacity. */
typedef struct {
    unsigned int slots;
    unsigned int room;           /**< requests that may wait */
    unsigned int rejected_per_s; /**< that it bears */
    unsigned int work_ms;        /**< of each request */
    unsigned int down_ms;        /**< after it has ended */
    int is_quiet; /**< it does not say that it is brittle, and does not end */
    int works_on; /**< a request whose caller has left */
} brittle_options_t;

/** A worker. Zero-initialize it. */
typedef struct {
    pps_reactor_t *reactor;
    pps_http_server_t *server;
    pps_http_limits_t limits;
    char address[NET_ADDRESS_BYTES];
    brittle_options_t options;
    struct cds_list_head runs; /**< running first, then waiting */
    unsigned int running;
    unsigned int waiting;
    unsigned int memory_used; /**< of `slots`, by those that run */
    int64_t rejected_us[BRITTLE_REJECTIONS_MAX];
    unsigned int rejected;
    unsigned int served;
    unsigned int served_large; /**< of these, larger than one slot */
    unsigned int falls;
    unsigned int rejected_in_all;
    int is_down;
    void (*on_restart)(void *user); /**< or NULL */
    void *user;
    pps_timer_t down_timer;
} brittle_worker_t;

/** Starts a worker on a free port. */
void
brittle_worker_start(brittle_worker_t *worker, pps_reactor_t *reactor,
                     const brittle_options_t *options);

/** Ends a worker for a while; this is not counted as a fall. */
void
brittle_worker_kill(brittle_worker_t *worker);

#endif
