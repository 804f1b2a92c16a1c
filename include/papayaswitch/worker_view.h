/**
 * @file worker_view.h
 * @brief The workers of the upstreams, with their load and back-offs.
 *
 * A view is immutable; the control thread replaces it when the platform's list
 * changes. The mutable state of a worker is a separate reference-counted
 * object, which the next view shares if the worker is listed with the same
 * upstream, address and port. Traffic threads update it without a lock.
 */
#ifndef PAPAYASWITCH_WORKER_VIEW_H
#define PAPAYASWITCH_WORKER_VIEW_H

#include "papayaswitch/refusal.h"

#include <stddef.h>
#include <stdint.h>

/** State of a worker in the platform's list. */
typedef enum {
    PPS_WORKER_LIVE,
    PPS_WORKER_LEAVING, /**< gets no new requests */
} pps_worker_state_t;

/** Whether a version is loaded at a worker. */
typedef enum {
    PPS_LOADED_UNKNOWN,
    PPS_LOADED_YES,
    PPS_LOADED_NO,
} pps_loaded_t;

/** Mutable state of a worker, shared between views. */
typedef struct pps_worker_runtime pps_worker_runtime_t;

/** A worker in a view. */
typedef struct {
    const char *id;
    const char *upstream;
    const char *address; /**< IP address as text */
    unsigned int port;
    const char *failure_domain;
    pps_worker_state_t state;
    unsigned int slots; /**< number of concurrent runs; 0: unknown */
    pps_worker_runtime_t *runtime;
} pps_worker_t;

/** A worker's report of its load, with the requests of all hosts. */
typedef struct {
    unsigned int running;
    unsigned int queued;
    unsigned int slots;          /**< 0: not reported */
    const char *const *versions; /**< loaded versions, or NULL: not reported */
    size_t version_count;
    int64_t measured_at_us; /**< time on this host's clock */
    int64_t received_at_us; /**< 0: same as measured_at_us */
} pps_worker_report_t;

/** An immutable list of workers. */
typedef struct pps_worker_view pps_worker_view_t;

/**
 * Creates a view. The strings are copied; `runtime` of the input is ignored.
 * @param previous view whose worker state is shared, or NULL
 * @return 0; PPS_EEXISTS if an id is listed twice; PPS_ENOMEM
 */
int
pps_worker_view_new(pps_worker_view_t **out, const pps_worker_view_t *previous,
                    const pps_worker_t *workers, size_t count);

/**
 * Creates a view from the platform's list: a JSON array of objects with id,
 * upstream, address and port. Optional are failure_domain (""), state ("live")
 * and slots (0). A worker in an unknown state is treated as leaving. Entries
 * that are malformed or out of range are left out, and so are further ones
 * with the same id.
 * @param skipped set to the number of entries that were left out, or NULL
 * @return 0; PPS_EINVALID: not an array; otherwise as pps_worker_view_new()
 */
int
pps_worker_view_decode(pps_worker_view_t **out,
                       const pps_worker_view_t *previous, const char *json,
                       size_t size, size_t *skipped);

/** Adds a reference. Safe from any thread. */
pps_worker_view_t *
pps_worker_view_ref(pps_worker_view_t *view);

/** Drops a reference; the last one frees the view. NULL is allowed. */
void
pps_worker_view_free(pps_worker_view_t *view);

/** Returns the number of workers. */
size_t
pps_worker_view_count(const pps_worker_view_t *view);

/** Returns the worker at `index`, in the order of the list, or NULL. */
const pps_worker_t *
pps_worker_view_at(const pps_worker_view_t *view, size_t index);

/** Returns the worker with this id, or NULL. */
const pps_worker_t *
pps_worker_view_find(const pps_worker_view_t *view, const char *id);

/** Shares the current view between threads. Safe from any thread. */
typedef struct pps_worker_registry pps_worker_registry_t;

/** Creates a registry with an empty view. */
int
pps_worker_registry_new(pps_worker_registry_t **out);

/** Frees the registry; referenced views stay valid. NULL is allowed. */
void
pps_worker_registry_free(pps_worker_registry_t *registry);

/** Replaces the current view; takes ownership of the caller's reference. */
void
pps_worker_registry_replace(pps_worker_registry_t *registry,
                            pps_worker_view_t *view);

/** Returns the current view, with a reference that the caller has to drop. */
pps_worker_view_t *
pps_worker_registry_acquire(pps_worker_registry_t *registry);

/** Adds a request to those in flight at the worker. */
void
pps_worker_begin_request(const pps_worker_t *worker);

/** Removes a request from those in flight, with or without success. */
void
pps_worker_end_request(const pps_worker_t *worker);

/** Adds a time to first token to the mean by which slow workers are found. */
void
pps_worker_record_first_token(const pps_worker_t *worker, int64_t elapsed_us);

/**
 * Updates load, slots and loaded versions from a report. A report that is not
 * newer than the last one is ignored. Only one thread at a time may apply
 * reports of the same worker.
 */
void
pps_worker_apply_report(const pps_worker_t *worker,
                        const pps_worker_report_t *report);

/**
 * Starts the back-off after a refusal or a failure. PPS_REFUSAL_NOT_LOADED
 * affects only `version`.
 * @param version the requested version; may be NULL
 * @param retry_after_us back-off of the worker; 0: default, none if STALE
 */
void
pps_worker_record_refusal(const pps_worker_t *worker, pps_refusal_t refusal,
                          const char *version, int64_t now_us,
                          int64_t retry_after_us);

/** Marks the version as loaded; ends back-offs except draining and unfit. */
void
pps_worker_record_success(const pps_worker_t *worker, const char *version);

/** Returns the number of requests from this host in flight at the worker. */
int64_t
pps_worker_in_flight(const pps_worker_t *worker);

/** Returns the running and queued requests, corrected by those sent since. */
double
pps_worker_load(const pps_worker_t *worker);

/** Returns the requests of other hosts, as of the last report. */
double
pps_worker_peer_load(const pps_worker_t *worker);

/** Returns the slots as reported, or else as listed; 0: unknown. */
unsigned int
pps_worker_slots(const pps_worker_t *worker);

/** Returns the last report's time of measurement, or INT64_MIN. */
int64_t
pps_worker_reported_at_us(const pps_worker_t *worker);

/** Returns the smoothed time to first token, or 0 without any sample. */
double
pps_worker_first_token_us(const pps_worker_t *worker);

/** Returns whether the worker may get new requests at `now_us`. */
int
pps_worker_is_open(const pps_worker_t *worker, int64_t now_us);

/** Returns when all back-offs end; INT64_MIN: none, INT64_MAX: leaving. */
int64_t
pps_worker_opens_at_us(const pps_worker_t *worker);

/** Returns whether the version is loaded; unknown after a back-off's end. */
pps_loaded_t
pps_worker_version_loaded(const pps_worker_t *worker, const char *version,
                          int64_t now_us);

#endif
