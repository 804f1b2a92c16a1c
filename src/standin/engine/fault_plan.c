/** @file fault_plan.c @brief Reads the faults that apply to a request. */
#include "fault_plan.h"

#include "clock.h"

static const fault_plan_t no_faults = {-1, -1, 0, 0, 0, 0};

json_t *
fault_plan_defaults(void)
{
    return json_pack("{s:s,s:i,s:i,s:i,s:b,s:b,s:i,s:f,s:b}", "refuse", "none",
                     "count", -1, "break_after", -1, "silent_after", -1,
                     "foreign_id", 0, "out_of_order", 0, "delay_first_ms", 0,
                     "slow_factor", 1.0, "truncate_without_done", 0);
}

static int
is_empty(const fault_plan_t *plan)
{
    return plan->break_after < 0 && plan->silent_after < 0 &&
           plan->delay_first_us == 0 && !plan->foreign_id &&
           !plan->out_of_order && !plan->truncate_without_done;
}

void
fault_plan_read(fault_plan_t *plan, standin_faults_t *faults)
{
    plan->break_after = standin_faults_int(faults, "break_after");
    plan->silent_after = standin_faults_int(faults, "silent_after");
    plan->delay_first_us =
        standin_faults_int(faults, "delay_first_ms") * PPS_US_PER_MS;
    plan->foreign_id = standin_faults_is_on(faults, "foreign_id");
    plan->out_of_order = standin_faults_is_on(faults, "out_of_order");
    plan->truncate_without_done =
        standin_faults_is_on(faults, "truncate_without_done");
    if (!is_empty(plan) && !standin_faults_count_request(faults)) {
        *plan = no_faults;
    }
}
