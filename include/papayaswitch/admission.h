/**
 * @file admission.h
 * @brief Admits requests to a pool by weighted fair shares across all hosts.
 *
 * Hosts periodically exchange the usage and the demand of each workspace. From
 * these a host computes the fair share of a workspace in the whole pool and
 * its own part of that share, and admits or refuses each request immediately.
 * Nothing is queued. Safe from any thread.
 */
#ifndef PAPAYASWITCH_ADMISSION_H
#define PAPAYASWITCH_ADMISSION_H

#include "papayaswitch/catalog.h"
#include "rng.h"

typedef enum {
    PPS_PRIORITY_INTERACTIVE, /**< status lookups, chat */
    PPS_PRIORITY_NORMAL,
    PPS_PRIORITY_BATCH, /**< refused first */
    PPS_PRIORITY_COUNT
} pps_priority_t;

/** Usage and demand of a workspace at one host, in slots. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    double in_flight;
    double demand; /**< slots needed for all arriving requests */
} pps_usage_t;

typedef struct {
    const char *workspace;
    double weight;
    pps_priority_t priority;
    int64_t service_us;  /**< expected time in a slot */
    int64_t deadline_us; /**< point in time; INT64_MAX: none */
    int64_t now_us;
    pps_rng_t *rng; /**< randomizes the retry time */
} pps_admission_request_t;

/** Admission state of one pool at one host. */
typedef struct pps_admission pps_admission_t;

/** Creates the state of a pool with a capacity of 0. */
int
pps_admission_new(pps_admission_t **out);

/** Frees the state; NULL is allowed. */
void
pps_admission_free(pps_admission_t *admission);

/** Sets the capacity: the slots of all workers that take new requests. */
void
pps_admission_set_capacity(pps_admission_t *admission, double slots);

/**
 * Admits or refuses a request.
 * @param retry_after_us on a refusal, the time after which to retry
 * @return 0; PPS_EREFUSED: over the fair share, or the pool is full;
 *         PPS_ETIMEOUT: it would not finish by its deadline;
 *         PPS_ENOMEM: out of memory, or too many workspaces
 */
int
pps_admission_enter(pps_admission_t *admission, int64_t *retry_after_us,
                    const pps_admission_request_t *request);

/** Releases the slot of an admitted request. */
void
pps_admission_leave(pps_admission_t *admission, const char *workspace_name);

#define PPS_ADMISSION_PERIOD_US 200000

/** Recomputes demands and shares; called every PPS_ADMISSION_PERIOD_US. */
void
pps_admission_tick(pps_admission_t *admission, int64_t now_us);

/** Copies at most `capacity` usages of this host. @return the count */
size_t
pps_admission_get_usage(pps_admission_t *admission, pps_usage_t *out,
                        size_t capacity);

/** Encodes usage. The caller frees `*out` with free(), also on an error. */
int
pps_usage_encode(void **out, size_t *size, const pps_usage_t *usage,
                 size_t count);

/** Decodes usage. @return 0; PPS_ECORRUPT, also for more than `capacity`
 * entries, with a count of 0 */
int
pps_usage_decode(pps_usage_t *out, size_t *count, size_t capacity,
                 const void *data, size_t size);

/** Replaces another host's usage, which expires 2 s after `now_us`. */
int
pps_admission_update_peer(pps_admission_t *admission, const char *host,
                          const pps_usage_t *usage, size_t count,
                          int64_t now_us);

/**
 * Computes weighted max-min fair shares: no share exceeds its demand, and
 * unused capacity is divided by weight among the demands that are not met.
 */
void
pps_fair_shares(double *shares, const double *demands, const double *weights,
                size_t count, double capacity);

#endif
