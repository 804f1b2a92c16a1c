/**
 * @file fault_plan.h
 * @brief What will go wrong with one request.
 */
#ifndef STANDIN_FAULT_PLAN_H
#define STANDIN_FAULT_PLAN_H

#include "standin_faults.h"

/** Token counts of -1 mean never. */
typedef struct {
    int64_t break_after;  /**< closes the connection after these tokens */
    int64_t silent_after; /**< sends nothing more after these tokens */
    int64_t delay_first_us;
    int foreign_id;            /**< an event names another request */
    int out_of_order;          /**< two events are swapped */
    int truncate_without_done; /**< ends half way in good order */
} fault_plan_t;

/** The defaults of all the engine's faults. */
json_t *
fault_plan_defaults(void);

/** The plan of the next request, counted by `count`. */
void
fault_plan_take(fault_plan_t *plan, standin_faults_t *faults);

#endif
