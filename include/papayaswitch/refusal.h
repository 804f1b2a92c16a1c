/**
 * @file refusal.h
 * @brief Reasons why a worker did not accept or did not complete a request.
 */
#ifndef PAPAYASWITCH_REFUSAL_H
#define PAPAYASWITCH_REFUSAL_H

/** Reasons; each updates the view of workers at once. */
typedef enum {
    PPS_REFUSAL_NONE,
    PPS_REFUSAL_DRAINING,   /**< the worker is shutting down */
    PPS_REFUSAL_FULL,       /**< all slots are busy and the queue is full */
    PPS_REFUSAL_NOT_LOADED, /**< the worker has not loaded the version */
    PPS_REFUSAL_BROKEN,     /**< a connection error or an invalid reply */
    PPS_REFUSAL_STALE,      /**< the revision or fencing number was outdated */
    PPS_REFUSAL_SILENT,     /**< the worker sent nothing before the timeout */
    PPS_REFUSAL_UNFIT,      /**< the ratings of its answers were too low */
    PPS_REFUSAL_COUNT
} pps_refusal_t;

/** Returns the stable name, such as `draining`. */
const char *
pps_refusal_name(pps_refusal_t refusal);

/** Looks up a refusal by its name, which may be NULL.
 * @return 0 or PPS_ENOTFOUND */
int
pps_refusal_lookup(pps_refusal_t *out, const char *name);

#endif
