/** @file cold_gate.c @brief This host's share of cold workers. */
#include "cold_gate.h"

#include "clock.h"
#include "counters.h"
#include "decision_log.h"
#include "host_counts.h"

/** Time for which a computed share holds. */
#define SHARE_PERIOD_US (200 * PPS_US_PER_MS)
/** Period of log lines and of counting hosts. Each visits all workers. */
#define STEP_PERIOD_US (1 * PPS_US_PER_S)

static const pps_upstream_t *
upstream_of(const pps_dispatcher_t *dispatcher,
            const pps_pool_worker_t *worker)
{
    const pps_deployment_t *deployment = dispatcher->deployment;
    unsigned int index;

    if (deployment == NULL ||
        pps_deployment_find_upstream(&index, deployment,
                                     worker->info.upstream) != 0) {
        return NULL;
    }
    return &deployment->upstreams[index];
}

/* Reads how cold workers of the upstream are treated. Returns whether its
 * workers can be cold at all. */
static int
read_rule(pps_cold_rule_t *out, const pps_dispatcher_t *dispatcher,
          const pps_upstream_t *upstream)
{
    if (upstream == NULL || upstream->cold_rate_per_s <= 0) {
        return 0;
    }
    *out = (pps_cold_rule_t){
        .per_s = upstream->cold_rate_per_s,
        .cold_us = upstream->cold_start_us,
        .over = dispatcher->options.cold_over,
        .slack = dispatcher->options.cold_slack,
    };
    return 1;
}

/* Returns whether this host treats workers as cold. The host's own settings
 * say so first, as they cost no look-up. */
static int
rule_for(pps_cold_rule_t *out, const pps_dispatcher_t *dispatcher,
         const pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (dispatcher->options.cold_over <= 0) {
        return 0;
    }
    return read_rule(out, dispatcher,
                     exchange != NULL ? exchange->upstream
                                      : upstream_of(dispatcher, worker));
}

static pps_host_rank_t
rank_for(const pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker)
{
    unsigned int hosts;
    int before;

    if (dispatcher->limit_rank == NULL) {
        return (pps_host_rank_t){1, 1, 0};
    }
    dispatcher->limit_rank(dispatcher->notice_user, worker, &hosts, &before);
    return pps_known_hosts_rank(&dispatcher->known_hosts,
                                worker->info.failure_domain, hosts, before,
                                dispatcher->reactor->now_us);
}

static void
check_cold(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
           pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_cold_start_t *cold = &worker->cold;
    pps_cold_rule_t rule;
    int64_t us;

    if (!rule_for(&rule, dispatcher, worker, exchange) ||
        !pps_cold_start_is_cold(cold, &rule, now_us)) {
        cold->is_active = 0;
        return;
    }
    if (now_us >= cold->rank_until_us) {
        const pps_host_rank_t rank = rank_for(dispatcher, worker);

        pps_cold_start_share(cold, &rule, &rank, now_us);
        cold->rank_until_us = now_us + SHARE_PERIOD_US;
    }
    us = pps_cold_start_wait_us(cold, now_us);
    if (us == INT64_MAX) {
        out->state = PPS_GATE_OTHER_HOST;
    }
    else if (us > 0) {
        out->state = PPS_GATE_CLOSED;
        out->opens_us = now_us + us;
    }
}

static void
take_cold(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    if (worker->cold.is_active) {
        pps_counter_add(PPS_COUNTER_ENTRY_COLD_SENT, 1);
        pps_cold_start_take(&worker->cold);
    }
}

const pps_worker_gate_t pps_gate_cold = {"cold", PPS_GATE_OF_SHARE, check_cold,
                                         take_cold, NULL};

void
pps_cold_gate_note_reply(pps_dispatcher_t *dispatcher,
                         pps_pool_worker_t *worker,
                         const pps_worker_reply_t *reply, int64_t sent_us)
{
    int64_t now_us = dispatcher->reactor->now_us;

    pps_cold_start_note_answer(&worker->cold, sent_us, now_us);
    if (reply->cold_us >= 0) {
        pps_cold_start_note_remaining(&worker->cold, now_us + reply->cold_us);
    }
}

void
pps_cold_gate_note_refused(pps_dispatcher_t *dispatcher,
                           pps_pool_worker_t *worker)
{
    pps_cold_rule_t rule;

    if (!rule_for(&rule, dispatcher, worker, NULL)) {
        return;
    }
    if (pps_cold_start_note_refused(&worker->cold,
                                    dispatcher->reactor->now_us)) {
        pps_counter_add(PPS_COUNTER_ENTRY_COLD_REFUSED, 1);
    }
}

/* Logs a change of what is known of a worker. */
static void
log_change(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
           const pps_cold_rule_t *rule)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_cold_start_t *cold = &worker->cold;
    pps_cold_evidence_t evidence;
    int64_t until_us = pps_cold_start_until_us(cold, rule, &evidence);

    if (until_us <= now_us) {
        evidence = PPS_COLD_NONE;
    }
    if (evidence == cold->logged) {
        return;
    }
    if (evidence == PPS_COLD_NONE) {
        pps_decision_log_cold(worker, 0, pps_cold_evidence_name(cold->logged));
    }
    else {
        pps_counter_add(PPS_COUNTER_ENTRY_WORKERS_COLD,
                        cold->logged == PPS_COLD_NONE);
        pps_decision_log_cold(worker, until_us - now_us,
                              pps_cold_evidence_name(evidence));
    }
    cold->logged = evidence;
}

static int
has_cold_workers(const pps_dispatcher_t *dispatcher)
{
    const pps_deployment_t *deployment = dispatcher->deployment;

    for (size_t i = 0; dispatcher->options.cold_over > 0 &&
                       deployment != NULL && i < deployment->upstream_count;
         i++) {
        if (deployment->upstreams[i].cold_rate_per_s > 0) {
            return 1;
        }
    }
    return 0;
}

void
pps_cold_gate_expect(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    pps_cold_rule_t rule;

    if (rule_for(&rule, dispatcher, worker, NULL)) {
        pps_cold_start_expect(&worker->cold,
                              dispatcher->reactor->now_us + rule.cold_us);
    }
}

void
pps_cold_gate_step(pps_dispatcher_t *dispatcher)
{
    pps_pool_worker_t *worker;

    if (dispatcher->reactor->now_us < dispatcher->known_hosts.step_due_us ||
        !has_cold_workers(dispatcher)) {
        return;
    }
    dispatcher->known_hosts.step_due_us =
        dispatcher->reactor->now_us + STEP_PERIOD_US;
    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        pps_cold_rule_t rule;

        if (worker->listed && rule_for(&rule, dispatcher, worker, NULL)) {
            pps_host_counts_note(dispatcher, &dispatcher->known_hosts, worker);
            log_change(dispatcher, worker, &rule);
        }
    }
}
