/**
 * @file worker_view.h
 * @brief The workers behind the upstreams, with load that is corrected at
 * once.
 *
 * The control thread replaces the list; a view never changes. The mutable
 * state of a worker lives in a cell that outlives the view: the next view
 * carries it over for each worker that stays. Cells are atomics, so that
 * traffic threads correct them without a lock.
 */
#ifndef PAPAYASWITCH_WORKER_VIEW_H
#define PAPAYASWITCH_WORKER_VIEW_H

#include "papayaswitch/refusal.h"

#include <stddef.h>
#include <stdint.h>

/** What the platform's list says of a worker. */
typedef enum {
    PPS_WORKER_LIVE,
    PPS_WORKER_LEAVING, /**< gets no new work */
} pps_worker_state_t;

/** Whether a worker holds a version. */
typedef enum {
    PPS_LOADED_UNKNOWN,
    PPS_LOADED_YES,
    PPS_LOADED_NO,
} pps_loaded_t;

/** Mutable state of a worker; see the functions below. */
typedef struct pps_worker_runtime pps_worker_runtime_t;

/** A worker in a view. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *address; /**< IP number */
    unsigned int port;
    const char *failure_domain;
    pps_worker_state_t state;
    unsigned int slots; /**< runs at a time when the list says so, or 0 */
    pps_worker_runtime_t *cell;
} pps_worker_t;

/** A worker's own report of its load. */
typedef struct {
    unsigned int running;
    unsigned int queued;
    unsigned int slots;          /**< 0: not reported */
    const char *const *versions; /**< versions that it holds, or NULL */
    size_t version_count;
    int64_t measured_at_us; /**< time of the measurement on our clock */
    int64_t received_at_us; /**< 0: right after the measurement */
} pps_worker_report_t;

/** An immutable list of workers. */
typedef struct pps_worker_view pps_worker_view_t;

/**
 * Makes a view. The strings are copied; `cell` of the input is not read.
 * @param previous view whose cells are carried over, or NULL
 * @return 0; PPS_EEXISTS when an id stands twice; PPS_ENOMEM
 */
int
pps_worker_view_new(pps_worker_view_t **out, const pps_worker_view_t *previous,
                    const pps_worker_t *workers, size_t count);

/**
 * Makes a view from the platform's list: a JSON array of objects with id,
 * upstream, address, port, failure_domain, state and optionally slots.
 * @return 0; PPS_EINVALID; PPS_EEXISTS; PPS_ENOMEM
 */
int
pps_worker_view_decode(pps_worker_view_t **out,
                       const pps_worker_view_t *previous, const char *json,
                       size_t size);

/** Takes one more reference. Safe from any thread. */
pps_worker_view_t *
pps_worker_view_ref(pps_worker_view_t *view);

/** Gives a reference back; the last one frees. NULL is allowed. */
void
pps_worker_view_free(pps_worker_view_t *view);

/** Number of workers. */
size_t
pps_worker_view_count(const pps_worker_view_t *view);

/** The worker at `index`, in the order of the list, or NULL. */
const pps_worker_t *
pps_worker_view_at(const pps_worker_view_t *view, size_t index);

/** The worker with this id, or NULL. */
const pps_worker_t *
pps_worker_view_find(const pps_worker_view_t *view, const char *id);

/** Where the control thread leaves the newest view for the others. */
typedef struct pps_worker_registry pps_worker_registry_t;

/** Makes a board that shows an empty view. */
int
pps_worker_registry_new(pps_worker_registry_t **out);

/** Frees the board; views still referenced live on. NULL is allowed. */
void
pps_worker_registry_free(pps_worker_registry_t *board);

/** Shows another view; takes over the caller's reference. */
void
pps_worker_registry_replace(pps_worker_registry_t *board,
                            pps_worker_view_t *view);

/** The view shown, with a reference for the caller. */
pps_worker_view_t *
pps_worker_registry_acquire(pps_worker_registry_t *board);

/** Counts a request sent to the worker. */
void
pps_worker_begin_request(const pps_worker_t *worker);

/** Counts a request that is over, however it ended. */
void
pps_worker_end_request(const pps_worker_t *worker);

/** Notes the time to first token; slow workers stand out by it. */
void
pps_worker_record_first_token(const pps_worker_t *worker, int64_t elapsed_us);

/**
 * Takes in a report; one older than the last is dropped. The reports of one
 * worker are taken in by one thread at a time.
 */
void
pps_worker_apply_report(const pps_worker_t *worker,
                        const pps_worker_report_t *report);

/**
 * Takes in a refusal or a failure.
 * @param version the version asked for; may be NULL
 * @param retry_after_us what the worker said, or 0 for the default
 */
void
pps_worker_record_refusal(const pps_worker_t *worker, pps_refusal_t refusal,
                          const char *version, int64_t now_us,
                          int64_t retry_after_us);

/** Notes that the worker served a version; ends its back-offs. */
void
pps_worker_record_success(const pps_worker_t *worker, const char *version);

/** Requests of this host under way at the worker. */
int64_t
pps_worker_in_flight(const pps_worker_t *worker);

/** Running and queued: last report, corrected by what was sent since. */
double
pps_worker_load(const pps_worker_t *worker);

/** The part of the load that other hosts sent, as of the last report. */
double
pps_worker_peer_load(const pps_worker_t *worker);

/** Runs at a time, by report or list; 0 when unknown. */
unsigned int
pps_worker_slots(const pps_worker_t *worker);

/** Time of the last report's measurement, or INT64_MIN. */
int64_t
pps_worker_reported_at_us(const pps_worker_t *worker);

/** Smoothed time to first token, or 0 when none was seen. */
double
pps_worker_first_token_us(const pps_worker_t *worker);

/** Whether the worker may get new work at this time. */
int
pps_worker_is_open(const pps_worker_t *worker, int64_t now_us);

/** Earliest time at which a back-off ends; INT64_MAX for a leaving one. */
int64_t
pps_worker_opens_at_us(const pps_worker_t *worker);

/** Whether the worker holds a version, as far as is known. */
pps_loaded_t
pps_worker_version_loaded(const pps_worker_t *worker, const char *version,
                          int64_t now_us);

#endif
