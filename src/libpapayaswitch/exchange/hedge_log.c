/** @file hedge_log.c @brief Log lines and counters of copies of requests. */
#include "hedge_log.h"

#include "clock.h"
#include "counters.h"
#include "logger.h"

void
pps_hedge_log_sent(const pps_exchange_t *exchange,
                   const pps_pool_worker_t *worker, int64_t wait_us,
                   int64_t usual_us, double load)
{
    pps_counter_add(PPS_COUNTER_ENTRY_HEDGES_SENT, 1);
    pps_logger_write(
        PPS_LOG_INFO, "hedged",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("upstream", exchange->upstream->name),
                   PPS_STR("slow_worker", exchange->worker->info.id),
                   PPS_STR("worker", worker->info.id),
                   PPS_INT("wait_ms", wait_us / PPS_US_PER_MS),
                   PPS_INT("usual_ms", usual_us / PPS_US_PER_MS),
                   PPS_INT("load_percent", load * 100)));
}

static void
log_end(const char *event, const pps_exchange_t *exchange,
        const pps_pool_worker_t *worker)
{
    pps_logger_write(PPS_LOG_INFO, event,
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("upstream", exchange->upstream->name),
                                PPS_STR("worker", worker->info.id)));
}

void
pps_hedge_log_won(const pps_exchange_t *exchange,
                  const pps_pool_worker_t *worker)
{
    pps_counter_add(PPS_COUNTER_ENTRY_HEDGES_WON, 1);
    log_end("hedge_won", exchange, worker);
}

void
pps_hedge_log_cancelled(const pps_exchange_t *exchange,
                        const pps_pool_worker_t *worker)
{
    pps_counter_add(PPS_COUNTER_ENTRY_HEDGES_CANCELLED, 1);
    log_end("hedge_cancelled", exchange, worker);
}

void
pps_hedge_log_limited(void)
{
    pps_counter_add(PPS_COUNTER_ENTRY_HEDGES_LIMITED, 1);
}
