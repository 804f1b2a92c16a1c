/**
 * @file fault_plan.h
 * @brief Faults that apply to one request.
 */
#ifndef STANDIN_FAULT_PLAN_H
#define STANDIN_FAULT_PLAN_H

#include "standin_faults.h"

/** Faults of a request; a token count of -1 disables its fault. */
typedef struct {
    int64_t break_after;    /**< tokens before the connection is closed */
    int64_t silent_after;   /**< tokens before the engine stops sending */
    int64_t delay_first_us; /**< delay of the first token or of a JSON body */
    int foreign_id;         /**< sends the id of another request */
    int out_of_order;       /**< swaps two events of a stream */
    /** Ends the response normally after half its tokens, without `finish`. */
    int truncate_without_done;
} fault_plan_t;

/** Returns the defaults of all faults of the engine. */
json_t *
fault_plan_defaults(void);

/** Sets `plan` to the current faults and counts the request; sets no faults if
 * the fault `count` is used up. */
void
fault_plan_read(fault_plan_t *plan, standin_faults_t *faults);

#endif
