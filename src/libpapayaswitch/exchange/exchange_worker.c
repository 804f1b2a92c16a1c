/** @file exchange_worker.c @brief Choice of a worker for an attempt. */
#include "exchange_worker.h"

#include "clock.h"
#include "exchange_link.h"
#include "exchange_trial.h"
#include "worker_gate.h"

#include <string.h>

/** Time after which a caller is sent to another host, which may send to a
 * worker whose limit this host has no share of. */
#define OTHER_HOST_US (50 * PPS_US_PER_MS)
/** Load that corresponds to a lateness ratio of 1, where first bytes usually
 * arrive at the route's target or later. */
#define LATENESS_LOAD_FACTOR 5.0

static int
was_tried(const pps_exchange_t *exchange, const char *id)
{
    for (unsigned int i = 0; i < exchange->sends; i++) {
        if (strcmp(exchange->tried[i], id) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Returns 1 if the roll-out assigns the session to another version, or this
 * one was rolled back before. */
static int
has_other_version(const pps_exchange_t *exchange,
                  const pps_worker_info_t *info)
{
    const pps_upstream_state_t *state = exchange->upstream_state;
    const pps_rollout_t *rollout = &state->rollout;

    if (rollout->state == PPS_ROLLOUT_NONE) {
        return 0;
    }
    return pps_version_set_contains(&state->rolled_back, info->version) ||
           (strcmp(info->version, rollout->target) == 0) !=
               pps_exchange_has_moved(exchange);
}

static const char *
model_of(const pps_exchange_t *exchange)
{
    return exchange->route->model_count > 0
               ? exchange->route->models[exchange->model]
               : exchange->call.model;
}

int
pps_exchange_is_match(const pps_exchange_t *exchange,
                      const pps_pool_worker_t *worker)
{
    const char *model = model_of(exchange);

    return worker->listed &&
           strcmp(worker->info.upstream, exchange->upstream->name) == 0 &&
           (model == NULL || pps_worker_has_model(&worker->info, model));
}

/* Returns whether the worker can serve the request when it is not full. */
static int
is_eligible(const pps_exchange_t *exchange, pps_pool_worker_t *worker)
{
    pps_gate_answer_t answer;

    if (!pps_exchange_is_match(exchange, worker)) {
        return 0;
    }
    pps_worker_gates_check(&answer, exchange->dispatcher, worker, exchange,
                           PPS_GATE_OF_WORKER);
    return answer.state != PPS_GATE_NEVER;
}

static double
weighted_tokens(const pps_exchange_t *exchange, int64_t tokens)
{
    const pps_upstream_t *upstream = exchange->upstream;
    const char *model = model_of(exchange);
    double largest = 0;

    for (size_t i = 0; i < upstream->model_count; i++) {
        if (upstream->models[i].cost > largest) {
            largest = upstream->models[i].cost;
        }
    }
    if (model == NULL || largest <= 0) {
        return (double)tokens;
    }
    return (double)tokens * pps_upstream_model_cost(upstream, model) / largest;
}

uint64_t
pps_exchange_prefix_digest(const pps_exchange_t *exchange)
{
    return exchange->call.session_digest + exchange->model;
}

double
pps_exchange_estimate_work(const pps_exchange_t *exchange,
                           const pps_pool_worker_t *worker)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t tokens = exchange->call.prompt_tokens;

    if (pps_prefix_affinity_find_worker(
            &dispatcher->prefixes, pps_exchange_prefix_digest(exchange),
            dispatcher->reactor->now_us) == worker->digest) {
        tokens -= exchange->call.shared_tokens;
    }
    return weighted_tokens(exchange, tokens > 0 ? tokens : 0);
}

static void
describe_candidate(pps_placement_candidate_t *out,
                   const pps_exchange_t *exchange,
                   const pps_pool_worker_t *worker, uint64_t prefix_worker)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t now_us = dispatcher->reactor->now_us;

    out->wait_us = pps_prefill_queue_wait_us(
        &worker->prefill, &exchange->upstream_state->prefill_rate, now_us);
    out->busy = pps_pool_worker_busy(worker, now_us, dispatcher->hosts);
    out->slots = worker->slots;
    out->failure_share = worker->failure_share;
    out->cold_us = worker->cold.is_active
                       ? pps_cold_start_slowness_us(
                             exchange->upstream_state->first_byte_us)
                       : 0;
    out->same_domain = strcmp(worker->info.failure_domain,
                              dispatcher->options.failure_domain) == 0;
    out->has_prefix = prefix_worker == worker->digest;
}

static pps_placement_options_t
placement_options(const pps_exchange_t *exchange)
{
    const pps_upstream_state_t *state = exchange->upstream_state;

    return (pps_placement_options_t){
        .target_us = (double)exchange->route->target_us,
        .prefix_us = weighted_tokens(exchange, exchange->call.shared_tokens) /
                     state->prefill_rate.tokens_per_us,
        .service_us = state->first_byte_us,
    };
}

/* Classes of workers, the preferred ones first. Workers of a class are chosen
 * only if there are none of the classes before it. */
typedef enum {
    CLASS_PREFERRED,
    CLASS_AVOIDED, /* to avoid for a time, or tried before */
    CLASS_OTHER_VERSION,
    CLASS_OTHER_VERSION_AVOIDED,
    CLASS_OTHER_HOST, /* only other hosts may send to it */
    CLASS_NONE,
} worker_class_t;

static worker_class_t
class_of(const pps_exchange_t *exchange, pps_pool_worker_t *worker)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int is_other = has_other_version(exchange, &worker->info);
    pps_gate_answer_t state;
    int is_avoided;

    pps_worker_gates_check(&state, dispatcher, worker, exchange,
                           PPS_GATE_OF_WORKER);
    if (state.state > PPS_GATE_AVOIDED) {
        return CLASS_NONE;
    }
    is_avoided = state.state == PPS_GATE_AVOIDED ||
                 was_tried(exchange, worker->info.id);
    if (!pps_worker_has_share(dispatcher, worker, exchange)) {
        return is_other || is_avoided ? CLASS_NONE : CLASS_OTHER_HOST;
    }
    if (is_other) {
        return is_avoided ? CLASS_OTHER_VERSION_AVOIDED : CLASS_OTHER_VERSION;
    }
    return is_avoided ? CLASS_AVOIDED : CLASS_PREFERRED;
}

static int
has_workers_of_own_version(const pps_exchange_t *exchange)
{
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (
        worker, pps_pool_workers(exchange->dispatcher->pool), node) {
        if (is_eligible(exchange, worker) &&
            !has_other_version(exchange, &worker->info)) {
            return 1;
        }
    }
    return 0;
}

/* Returns whether the request may run on the other version when its own has no
 * free worker. The target of a roll-out gets no more than what is moved to it,
 * as long as the old version has workers at all. */
static int
may_use_other_version(const pps_exchange_t *exchange)
{
    return pps_exchange_has_moved(exchange) ||
           !has_workers_of_own_version(exchange);
}

static int
is_class_allowed(const pps_exchange_t *exchange, worker_class_t worker_class)
{
    switch (worker_class) {
    case CLASS_PREFERRED:
    case CLASS_AVOIDED:
        return 1;
    case CLASS_OTHER_VERSION:
    case CLASS_OTHER_VERSION_AVOIDED:
        return may_use_other_version(exchange);
    case CLASS_OTHER_HOST:
        return pps_exchange_may_borrow(exchange);
    case CLASS_NONE:
        break;
    }
    return 0;
}

/* Lists the workers of the first class that has any and is allowed.
 * @return that class */
static worker_class_t
list_workers(pps_pool_worker_t **out, size_t *count,
             const pps_exchange_t *exchange)
{
    worker_class_t best = CLASS_NONE;
    pps_pool_worker_t *worker;

    *count = 0;
    cds_list_for_each_entry (
        worker, pps_pool_workers(exchange->dispatcher->pool), node) {
        worker_class_t worker_class;

        if (!pps_exchange_is_match(exchange, worker)) {
            continue;
        }
        worker_class = class_of(exchange, worker);
        if (worker_class < best && is_class_allowed(exchange, worker_class)) {
            best = worker_class;
            *count = 0;
        }
        if (worker_class == best && best != CLASS_NONE &&
            *count < PPS_EXCHANGE_CANDIDATES_MAX) {
            out[(*count)++] = worker;
        }
    }
    return best;
}

pps_pool_worker_t *
pps_exchange_choose_worker(const pps_exchange_t *exchange)
{
    static pps_placement_candidate_t candidates[PPS_EXCHANGE_CANDIDATES_MAX];
    static pps_pool_worker_t *workers[PPS_EXCHANGE_CANDIDATES_MAX];
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    const pps_placement_options_t options = placement_options(exchange);
    uint64_t prefix_worker = pps_prefix_affinity_find_worker(
        &dispatcher->prefixes, pps_exchange_prefix_digest(exchange),
        dispatcher->reactor->now_us);
    size_t count;
    worker_class_t worker_class = list_workers(workers, &count, exchange);
    int chosen = -1;

    for (size_t i = 0; i < count; i++) {
        describe_candidate(&candidates[i], exchange, workers[i],
                           prefix_worker);
    }
    if (worker_class != CLASS_OTHER_VERSION &&
        worker_class != CLASS_OTHER_VERSION_AVOIDED &&
        pps_exchange_is_on_trial(exchange)) {
        chosen = pps_exchange_choose_for_trial(exchange, candidates, workers,
                                               count);
    }
    if (chosen < 0) {
        chosen = pps_placement_choose(candidates, count, &options,
                                      &dispatcher->rng);
    }
    return chosen < 0 ? NULL : workers[chosen];
}

int
pps_exchange_can_ask(pps_exchange_t *exchange, size_t model)
{
    size_t current = exchange->model;
    int found;

    exchange->model = model;
    found = pps_exchange_choose_worker(exchange) != NULL;
    exchange->model = current;
    return found;
}

void
pps_exchange_sum_slots(const pps_exchange_t *exchange, double *busy,
                       double *slots)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_pool_worker_t *worker;

    *busy = 0;
    *slots = 0;
    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (is_eligible(exchange, worker)) {
            *busy += pps_pool_worker_busy(worker, dispatcher->reactor->now_us,
                                          dispatcher->hosts);
            *slots += worker->slots;
        }
    }
}

/* Returns the time until this host may send to the worker; 0 if it may now, or
 * if that is unknown. If only other hosts may, that is a time in which the
 * caller reaches one of them. */
static int64_t
opening_us(const pps_dispatcher_t *dispatcher, const pps_gate_answer_t *answer)
{
    switch (answer->state) {
    case PPS_GATE_OTHER_HOST:
        return OTHER_HOST_US;
    case PPS_GATE_CLOSED:
        return answer->opens_us == 0
                   ? 0
                   : answer->opens_us - dispatcher->reactor->now_us;
    default:
        return 0;
    }
}

int64_t
pps_exchange_first_opening_us(const pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int64_t first_us = 0;
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        pps_gate_answer_t state;
        pps_gate_answer_t share;
        int64_t us;

        if (!pps_exchange_is_match(exchange, worker)) {
            continue;
        }
        pps_worker_gates_check(&state, dispatcher, worker, exchange,
                               PPS_GATE_OF_WORKER);
        if (state.state == PPS_GATE_NEVER) {
            continue;
        }
        pps_worker_gates_check(&share, dispatcher, worker, exchange,
                               PPS_GATES_OF_SHARES);
        us = opening_us(dispatcher, &state);
        if (opening_us(dispatcher, &share) > us) {
            us = opening_us(dispatcher, &share);
        }
        if (us <= 0) {
            return 0;
        }
        if (first_us == 0 || us < first_us) {
            first_us = us;
        }
    }
    return first_us;
}

double
pps_exchange_estimate_load(const pps_exchange_t *exchange)
{
    double lateness_load =
        exchange->upstream_state->lateness.ratio * LATENESS_LOAD_FACTOR;
    double busy;
    double slots;
    double load;

    pps_exchange_sum_slots(exchange, &busy, &slots);
    load = slots > 0 ? busy / slots : 0;
    return lateness_load > load ? lateness_load : load;
}
