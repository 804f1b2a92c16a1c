/**
 * @file admission.h
 * @brief Who may use a pool now: weighted fair shares that hold on all hosts.
 *
 * Hosts tell each other now and then what each workspace uses and asks for. A
 * host then knows the fair share of a workspace in the whole pool and its own
 * part of it, and decides each request by itself, at once. Nothing is queued
 * here. Safe from any thread.
 */
#ifndef PAPAYASWITCH_ADMISSION_H
#define PAPAYASWITCH_ADMISSION_H

#include "papayaswitch/catalog.h"
#include "rng.h"

/** Importance of a kind of request. */
typedef enum {
    PPS_PRIORITY_INTERACTIVE, /**< status lookups, chat */
    PPS_PRIORITY_NORMAL,
    PPS_PRIORITY_BATCH, /**< first to give way */
    PPS_PRIORITY_COUNT
} pps_priority_t;

/** What a workspace uses and asks for at one host. */
typedef struct {
    char workspace[PPS_NAME_MAX + 1];
    double in_flight;
    double demand; /**< slots that its arrivals would fill */
} pps_usage_t;

/** A request that asks to enter. */
typedef struct {
    const char *workspace;
    double weight;
    pps_priority_t priority;
    int64_t service_us;  /**< expected time in a slot */
    int64_t deadline_us; /**< INT64_MAX: none */
    int64_t now_us;
    pps_rng_t *rng; /**< spreads what Retry-After says */
} pps_admission_request_t;

/** State of one pool's admission at one host. */
typedef struct pps_admission pps_admission_t;

/** Starts with no capacity. */
int
pps_admission_new(pps_admission_t **out);

/** Frees it; NULL is allowed. */
void
pps_admission_free(pps_admission_t *admission);

/** Sets the slots of all workers that take work. */
void
pps_admission_set_capacity(pps_admission_t *admission, double slots);

/**
 * Admits or refuses.
 * @param retry_after_us on a refusal, when to come back
 * @return 0; PPS_EREFUSED: over the fair share, or the pool is full;
 *         PPS_ETIMEOUT: it would not finish by its deadline; PPS_ENOMEM
 */
int
pps_admission_enter(pps_admission_t *admission, int64_t *retry_after_us,
                    const pps_admission_request_t *request);

/** Ends what was admitted. */
void
pps_admission_leave(pps_admission_t *admission, const char *workspace_name);

/** Recomputes demands and shares; call each PPS_ADMISSION_PERIOD_US. */
#define PPS_ADMISSION_PERIOD_US 200000
void
pps_admission_tick(pps_admission_t *admission, int64_t now_us);

/** Copies this host's usage, to be told to the others. @return the count */
size_t
pps_admission_get_usage(pps_admission_t *admission, pps_usage_t *out,
                        size_t capacity);

/** Encodes usage for peer links. The caller frees `*out` with free(). */
int
pps_usage_encode(void **out, size_t *size, const pps_usage_t *usage,
                 size_t count);

/** Decodes usage. @return 0; PPS_ECORRUPT, with a count of 0 */
int
pps_usage_decode(pps_usage_t *out, size_t *count, size_t capacity,
                 const void *data, size_t size);

/** Takes in another host's usage; it is forgotten when not renewed. */
int
pps_admission_update_peer(pps_admission_t *admission, const char *host,
                          const pps_usage_t *usage, size_t count,
                          int64_t now_us);

/**
 * Weighted max-min fair shares: nobody gets more than it demands, and what
 * one leaves is divided among the others by weight.
 */
void
pps_fair_shares(double *shares, const double *demands, const double *weights,
                size_t count, double capacity);

#endif
