/** @file worker_share.c @brief This host's share of workers' limits. */
#include "worker_share.h"

#include "clock.h"
#include "decision_log.h"

/** Time for which a computed share holds. */
#define SHARE_PERIOD_US (200 * PPS_US_PER_MS)
/** Time between reports of a limit to the other hosts, and the time for which
 * its end is reported, as datagrams may be lost. */
#define REPORT_PERIOD_US (1 * PPS_US_PER_S)
#define END_REPORTS_US (5 * PPS_US_PER_S)
/** Time without a report after which a limit that other hosts share may have
 * ended unheard: then all hosts share it, to find out. */
#define LEASE_US (30 * PPS_US_PER_S)

static pps_limit_share_t
compute_share(const pps_dispatcher_t *dispatcher,
              const pps_pool_worker_t *worker)
{
    const pps_worker_limit_t *limit = &worker->limit;
    pps_limit_share_t share = {1, dispatcher->hosts};
    int before = 0;

    if (dispatcher->limit_rank == NULL) {
        return (pps_limit_share_t){1, 1};
    }
    if (dispatcher->reactor->now_us - limit->named_us > LEASE_US) {
        return share;
    }
    dispatcher->limit_rank(dispatcher->notice_user, worker, &share.senders,
                           &before);
    share.senders = pps_worker_limit_count_senders(limit, share.senders);
    share.is_sender = before >= 0 && before < (int)share.senders;
    return share;
}

/* Returns the time until this host may send a request to the worker: 0 if it
 * may now, INT64_MAX if only other hosts may. */
static int64_t
wait_us(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    int64_t now_us = dispatcher->reactor->now_us;

    if (!worker->limit.is_named) {
        return 0;
    }
    if (now_us >= worker->share_until_us) {
        worker->limit_share = compute_share(dispatcher, worker);
        worker->share_until_us = now_us + SHARE_PERIOD_US;
    }
    return pps_worker_limit_wait_us(&worker->limit, &worker->limit_share,
                                    now_us);
}

static void
check_limit(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
            pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    int64_t us = wait_us(dispatcher, worker);

    if (us == INT64_MAX) {
        out->state = PPS_GATE_OTHER_HOST;
    }
    else if (us > 0) {
        out->state = PPS_GATE_CLOSED;
        out->opens_us = dispatcher->reactor->now_us + us;
    }
}

static unsigned int
count_limit_holders(const pps_dispatcher_t *dispatcher,
                    pps_pool_worker_t *worker)
{
    return worker->limit_share.senders;
}

static void
take_limit(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    pps_worker_limit_take(&worker->limit);
}

const pps_worker_gate_t pps_gate_limit = {
    "limit", PPS_GATE_OF_SHARE, check_limit, take_limit, count_limit_holders};

static void
report(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
       int64_t start_ms, int64_t age_us)
{
    const pps_limit_notice_t notice = {
        .worker = worker->digest,
        .start_ms = start_ms,
        .is_named = worker->limit.is_named,
        .per_s = worker->limit.per_s,
        .age_us = age_us,
    };

    worker->limit_told_us = dispatcher->reactor->now_us;
    if (dispatcher->limit_notice != NULL) {
        dispatcher->limit_notice(dispatcher->notice_user, &notice);
    }
}

static int
is_report_due(const pps_dispatcher_t *dispatcher,
              const pps_pool_worker_t *worker)
{
    return dispatcher->reactor->now_us - worker->limit_told_us >=
           REPORT_PERIOD_US;
}

static int
name_limit(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
           double per_s, int64_t at_us, const char *source)
{
    if (!pps_worker_limit_name(&worker->limit, per_s, at_us)) {
        return 0;
    }
    worker->share_until_us = 0;
    pps_decision_log_limit(worker, per_s, source);
    return 1;
}

static int
end_limit(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
          int64_t sent_us, const char *source)
{
    if (!pps_worker_limit_end(&worker->limit, sent_us)) {
        return 0;
    }
    worker->limit_ended_us = dispatcher->reactor->now_us;
    pps_decision_log_limit(worker, -1, source);
    return 1;
}

void
pps_worker_share_name(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                      int64_t start_ms, double per_s)
{
    int is_changed = name_limit(dispatcher, worker, per_s,
                                dispatcher->reactor->now_us, "answer");

    if (is_changed || is_report_due(dispatcher, worker)) {
        report(dispatcher, worker, start_ms, 0);
    }
}

void
pps_worker_share_end(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                     int64_t start_ms, int64_t sent_us)
{
    int64_t now_us = dispatcher->reactor->now_us;
    int is_changed = end_limit(dispatcher, worker, sent_us, "answer");
    int is_recent = worker->limit_ended_us != 0 && !worker->limit.is_named &&
                    now_us - worker->limit_ended_us < END_REPORTS_US;

    if (is_changed || (is_recent && is_report_due(dispatcher, worker))) {
        report(dispatcher, worker, start_ms, now_us - sent_us);
    }
}

void
pps_dispatcher_on_limit(pps_dispatcher_t *dispatcher,
                        const pps_limit_notice_t *notice)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, notice->worker);
    int64_t at_us = dispatcher->reactor->now_us - notice->age_us;

    if (worker == NULL || worker->info.start_ms != notice->start_ms) {
        return;
    }
    if (notice->is_named) {
        name_limit(dispatcher, worker, notice->per_s, at_us, "host");
    }
    else {
        end_limit(dispatcher, worker, at_us, "host");
    }
}
