/**
 * @file refusal.h
 * @brief Why a worker did not take or did not finish a request.
 */
#ifndef PAPAYASWITCH_REFUSAL_H
#define PAPAYASWITCH_REFUSAL_H

/** Reasons; each corrects the view of workers at once. */
typedef enum {
    PPS_REFUSAL_NONE,
    PPS_REFUSAL_DRAINING,   /**< it is leaving */
    PPS_REFUSAL_FULL,       /**< no slot and no place in its queue */
    PPS_REFUSAL_NOT_LOADED, /**< it does not hold the version */
    PPS_REFUSAL_BROKEN,     /**< it answered with a fault */
    PPS_REFUSAL_STALE,      /**< the order carried an old revision */
    PPS_REFUSAL_SILENT,     /**< it gave no sign of life */
    PPS_REFUSAL_UNFIT,      /**< the ratings of its answers fell */
    PPS_REFUSAL_COUNT
} pps_refusal_t;

/** A stable short name, such as `draining`. */
const char *
pps_refusal_name(pps_refusal_t refusal);

/** The refusal of that name. @return 0 or PPS_ENOTFOUND; NULL is allowed */
int
pps_refusal_lookup(pps_refusal_t *out, const char *name);

#endif
