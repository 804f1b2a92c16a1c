/** @file decision_log_worker.c @brief Log lines on workers and their paths. */
#include "clock.h"
#include "counters.h"
#include "decision_log.h"
#include "logger.h"

/** Limits are logged per minute, since they may be fractions. */
#define SECONDS_PER_MINUTE 60
#define US_TO_MS(us) ((us) / PPS_US_PER_MS)

void
pps_decision_log_path(const pps_dispatcher_t *dispatcher,
                      const pps_worker_info_t *worker, int is_lost)
{
    pps_logger_write(
        is_lost ? PPS_LOG_WARN : PPS_LOG_INFO, "workers_path",
        PPS_FIELDS(PPS_INT("lost", is_lost), PPS_STR("worker", worker->id),
                   PPS_INT("unanswered", dispatcher->reach.failures),
                   PPS_INT("workers", pps_pool_count(dispatcher->pool))));
}

void
pps_decision_log_worker_path(const pps_worker_info_t *worker, int is_lost)
{
    pps_logger_write(PPS_LOG_WARN, "worker_path",
                     PPS_FIELDS(PPS_STR("worker", worker->id),
                                PPS_STR("upstream", worker->upstream),
                                PPS_STR("address", worker->address),
                                PPS_INT("lost", is_lost)));
}

void
pps_decision_log_evacuated(const char *failure_domain, const char *order,
                           size_t workers)
{
    pps_counter_add(PPS_COUNTER_ENTRY_EVACUATIONS, 1);
    pps_logger_write(PPS_LOG_WARN, "evacuated",
                     PPS_FIELDS(PPS_STR("failure_domain", failure_domain),
                                PPS_STR("order", order),
                                PPS_INT("workers", workers)));
}

void
pps_decision_log_evacuation_ended(const char *failure_domain, int64_t after_us,
                                  size_t workers)
{
    pps_counter_add(PPS_COUNTER_ENTRY_EVACUATIONS_ENDED, 1);
    pps_logger_write(PPS_LOG_INFO, "evacuation_ended",
                     PPS_FIELDS(PPS_STR("failure_domain", failure_domain),
                                PPS_INT("after_ms", US_TO_MS(after_us)),
                                PPS_INT("workers", workers)));
}

void
pps_decision_log_no_home(void)
{
    pps_counter_add(PPS_COUNTER_ENTRY_REFUSED_NO_HOME, 1);
}

void
pps_decision_log_all_evacuated(void)
{
    pps_counter_add(PPS_COUNTER_ENTRY_REFUSED_EVACUATED, 1);
}

void
pps_decision_log_leaving(const pps_pool_worker_t *worker, const char *source)
{
    pps_counter_add(PPS_COUNTER_ENTRY_WORKERS_LEAVING, 1);
    pps_logger_write(
        PPS_LOG_INFO, "worker_leaving",
        PPS_FIELDS(PPS_STR("worker", worker->info.id),
                   PPS_STR("upstream", worker->info.upstream),
                   PPS_STR("source", source),
                   PPS_INT("listed_leaving", worker->info.leaving),
                   PPS_INT("start_ms", worker->info.start_ms)));
}

void
pps_decision_log_paused(const pps_pool_worker_t *worker, const char *request,
                        int64_t pause_us)
{
    pps_counter_add(PPS_COUNTER_ENTRY_WORKER_PAUSES, 1);
    pps_logger_write(PPS_LOG_WARN, "worker_paused",
                     PPS_FIELDS(PPS_STR("request", request),
                                PPS_STR("worker", worker->info.id),
                                PPS_INT("pause_ms", US_TO_MS(pause_us))));
}

void
pps_decision_log_invalid_pause(const pps_pool_worker_t *worker,
                               const char *request, int64_t pause_us)
{
    pps_logger_write(PPS_LOG_WARN, "invalid_pause",
                     PPS_FIELDS(PPS_STR("request", request),
                                PPS_STR("worker", worker->info.id),
                                PPS_INT("kept_ms", US_TO_MS(pause_us))));
}

void
pps_decision_log_limit(const pps_pool_worker_t *worker, double limit_per_s,
                       const char *source)
{
    pps_logger_write(
        PPS_LOG_INFO, "worker_limit",
        PPS_FIELDS(PPS_STR("worker", worker->info.id),
                   PPS_STR("upstream", worker->info.upstream),
                   PPS_STR("source", source),
                   PPS_INT("per_minute", limit_per_s * SECONDS_PER_MINUTE)));
}

void
pps_decision_log_cold(const pps_pool_worker_t *worker, int64_t left_us,
                      const char *evidence)
{
    pps_logger_write(PPS_LOG_INFO,
                     left_us != 0 ? "worker_cold" : "worker_warm",
                     PPS_FIELDS(PPS_STR("worker", worker->info.id),
                                PPS_STR("upstream", worker->info.upstream),
                                PPS_STR("evidence", evidence),
                                PPS_INT("left_ms", US_TO_MS(left_us)),
                                PPS_INT("start_ms", worker->info.start_ms)));
}

void
pps_decision_log_invalid_limit(const pps_exchange_t *exchange)
{
    pps_logger_write(PPS_LOG_WARN, "worker_limit_invalid",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("worker", exchange->worker->info.id)));
}

void
pps_decision_log_worker_probed(const pps_worker_info_t *worker,
                               pps_probe_result_t result, unsigned int answers)
{
    static const char *const results[] = {
        [PPS_PROBE_ACCEPTED] = "accepted",
        [PPS_PROBE_REFUSED] = "refused",
        [PPS_PROBE_UNANSWERED] = "unanswered",
    };

    pps_logger_write(PPS_LOG_WARN, "worker_probed",
                     PPS_FIELDS(PPS_STR("worker", worker->id),
                                PPS_STR("upstream", worker->upstream),
                                PPS_INT("start_ms", worker->start_ms),
                                PPS_STR("result", results[result]),
                                PPS_INT("answers", answers)));
}

void
pps_decision_log_brittle(const pps_pool_worker_t *worker,
                         const pps_brittle_notice_t *notice,
                         const char *source)
{
    pps_logger_write(PPS_LOG_INFO, "worker_brittle",
                     PPS_FIELDS(PPS_STR("worker", worker->info.id),
                                PPS_STR("upstream", worker->info.upstream),
                                PPS_STR("source", source),
                                PPS_INT("brittle", notice->is_brittle),
                                PPS_INT("rejected", notice->is_rejected),
                                PPS_INT("held", notice->held)));
}

void
pps_decision_log_upstream_brittle(const pps_pool_worker_t *worker,
                                  int is_brittle, const char *source)
{
    pps_logger_write(PPS_LOG_INFO, "upstream_brittle",
                     PPS_FIELDS(PPS_STR("upstream", worker->info.upstream),
                                PPS_STR("worker", worker->info.id),
                                PPS_STR("source", source),
                                PPS_INT("brittle", is_brittle)));
}

void
pps_decision_log_brittle_rejected(const pps_exchange_t *exchange,
                                  const pps_worker_reply_t *reply)
{
    static const struct {
        const char *name;
        pps_counter_t counter;
    } uses[] = {
        [PPS_PERMIT_NOT_NEEDED] = {"not_needed",
                                   PPS_COUNTER_ENTRY_BRITTLE_UNKNOWN},
        [PPS_PERMIT_OWN] = {"own", PPS_COUNTER_ENTRY_BRITTLE_OWN},
        [PPS_PERMIT_BORROWED] = {"borrowed",
                                 PPS_COUNTER_ENTRY_BRITTLE_BORROWED},
    };
    const pps_pool_worker_t *worker = exchange->worker;

    pps_counter_add(uses[exchange->permit_use].counter, 1);
    pps_logger_write(
        PPS_LOG_INFO, "brittle_rejected",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("worker", worker->info.id),
                   PPS_INT("start_ms", exchange->worker_start_ms),
                   PPS_STR("permit", uses[exchange->permit_use].name),
                   PPS_INT("running", reply->running),
                   PPS_INT("waiting", reply->waiting),
                   PPS_INT("slots", worker->slots),
                   PPS_INT("tokens", exchange->call.prompt_tokens),
                   PPS_INT("busy_here", worker->in_flight),
                   PPS_INT("rank", worker->permit_rank.before),
                   PPS_INT("hosts", worker->permit_rank.hosts)));
}

void
pps_decision_log_invalid_brittle(const pps_exchange_t *exchange)
{
    pps_logger_write(PPS_LOG_WARN, "worker_brittle_invalid",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("worker", exchange->worker->info.id)));
}

void
pps_decision_log_relay_taken(const char *request,
                             const pps_worker_info_t *worker,
                             unsigned int status)
{
    pps_counter_add(PPS_COUNTER_ENTRY_RELAYS_TAKEN, 1);
    if (request == NULL || !pps_logger_is_sampled(request)) {
        return;
    }
    pps_logger_write(PPS_LOG_INFO, "relay_taken",
                     PPS_FIELDS(PPS_STR("request", request),
                                PPS_STR("worker", worker->id),
                                PPS_INT("status", status)));
}
