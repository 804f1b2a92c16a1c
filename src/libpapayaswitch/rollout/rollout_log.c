/** @file rollout_log.c @brief Log lines of roll-outs. */
#include "rollout_log.h"

#include "clock.h"
#include "logger.h"

static const char *
hold_name(const pps_rollout_t *rollout)
{
    static const char *const names[] = {
        [PPS_ROLLOUT_HOLD_UNKNOWN] = "unknown",
        [PPS_ROLLOUT_HOLD_BAD] = "bad",
        [PPS_ROLLOUT_HOLD_EXPOSURE] = "exposure_used_up",
        [PPS_ROLLOUT_HOLD_TIME] = "time_used_up",
    };

    return rollout->held ? names[rollout->hold_reason] : "none";
}

void
pps_rollout_log(const char *event, const pps_rollout_t *rollout,
                const pps_rollout_tally_t *tally,
                const pps_rollout_source_t *source)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);

    pps_logger_write(
        PPS_LOG_WARN, event,
        PPS_FIELDS(
            PPS_STR("upstream", rollout->upstream),
            PPS_STR("target", rollout->target),
            PPS_INT("state", rollout->state), PPS_STR("from", source->from),
            PPS_STR("hold", hold_name(rollout)),
            PPS_INT("proven", rollout->proven),
            PPS_INT("share", rollout->share),
            PPS_INT("age_ms",
                    (source->now_us - rollout->started_us) / PPS_US_PER_MS),
            PPS_INT("processes", source->processes),
            PPS_INT("duration_ms", rollout->duration_us / PPS_US_PER_MS),
            PPS_INT("next_share", rollout->next_share),
            PPS_INT("next_age_ms", rollout->next_age_us / PPS_US_PER_MS),
            PPS_INT("requests", tally->requests),
            PPS_INT("exposed", tally->exposed),
            PPS_INT("target_answers", target.answers),
            PPS_INT("target_failures", target.failures),
            PPS_INT("target_judged", target.judged),
            PPS_INT("target_slow", target.slow),
            PPS_INT("target_scored", target.scored),
            PPS_INT("target_score_milli", target.score_milli),
            PPS_INT("loaded_answers", tally->loaded_target.answers),
            PPS_INT("loaded_failures", tally->loaded_target.failures),
            PPS_INT("before_answers", baseline.answers),
            PPS_INT("before_failures", baseline.failures),
            PPS_INT("before_slow", baseline.slow)));
}

static int64_t
mean_ms(const pps_rollout_count_t *count)
{
    return count->timed == 0 ? -1
                             : (int64_t)(count->first_byte_us / count->timed) /
                                   PPS_US_PER_MS;
}

void
pps_rollout_log_evidence(const pps_rollout_t *rollout,
                         const pps_rollout_tally_t *tally,
                         const pps_rollout_view_t *view)
{
    pps_rollout_count_t target = pps_rollout_sum_kinds(tally->target);
    pps_rollout_count_t baseline = pps_rollout_sum_kinds(tally->baseline);

    pps_logger_write(
        PPS_LOG_INFO, "rollout_evidence",
        PPS_FIELDS(
            PPS_STR("upstream", rollout->upstream),
            PPS_STR("target", rollout->target),
            PPS_INT("share", rollout->share), PPS_INT("held", rollout->held),
            PPS_INT("proven", rollout->proven),
            PPS_INT("requests", tally->requests),
            PPS_INT("exposed", tally->exposed),
            PPS_INT("target_answers", target.answers),
            PPS_INT("target_failures", target.failures),
            PPS_INT("target_judged", target.judged),
            PPS_INT("target_slow", target.slow),
            PPS_INT("target_scored", target.scored),
            PPS_INT("target_score_milli", target.score_milli),
            PPS_INT("loaded_answers", tally->loaded_target.answers),
            PPS_INT("loaded_failures", tally->loaded_target.failures),
            PPS_INT("target_first_byte_ms", mean_ms(&target)),
            PPS_INT("before_answers", baseline.answers),
            PPS_INT("before_failures", baseline.failures),
            PPS_INT("before_slow", baseline.slow),
            PPS_INT("before_first_byte_ms", mean_ms(&baseline)),
            PPS_INT("waiting", view->waiting),
            PPS_INT("longest_wait_ms", view->longest_wait_us / PPS_US_PER_MS),
            PPS_INT("target_load_percent", view->target_load * 100),
            PPS_INT("unheard_hosts", view->unheard_hosts),
            PPS_INT("oldest_report_ms",
                    view->oldest_report_us / PPS_US_PER_MS)));
}
