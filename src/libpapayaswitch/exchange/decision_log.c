/** @file decision_log.c @brief Log lines and counters of a request. */
#include "decision_log.h"

#include "clock.h"
#include "counters.h"
#include "logger.h"
#include "poison/poison_key.h"

#include <inttypes.h>
#include <stdio.h>

#define US_TO_MS(us) ((us) / PPS_US_PER_MS)
#define NO_REPORT_AGE (-1)
#define NO_ANSWER (-1)
#define STATUS_UNAVAILABLE 503
/** Number of a prompt's parts that a line has, from the last on. */
#define LOGGED_PARTS_MAX 8
#define DIGEST_TEXT_BYTES 18
#define DIGEST_FORMAT "%016" PRIx64

static int64_t
now_us(const pps_exchange_t *exchange)
{
    return exchange->dispatcher->reactor->now_us;
}

static const char *
model_name(const pps_exchange_t *exchange)
{
    const pps_route_t *route = exchange->route;

    return route->model_count > 0 ? route->models[exchange->model] : "";
}

void
pps_decision_log_refused(const char *id, unsigned int status,
                         const char *reason, int64_t revision)
{
    pps_counter_add(PPS_COUNTER_ENTRY_REFUSED, 1);
    pps_logger_write(
        PPS_LOG_WARN, "refused",
        PPS_FIELDS(PPS_STR("request", id ? id : ""), PPS_INT("status", status),
                   PPS_STR("reason", reason), PPS_INT("revision", revision)));
}

void
pps_decision_log_body_refused(const pps_dispatcher_t *dispatcher,
                              const pps_body_owner_t *owner, size_t bytes)
{
    const pps_byte_account_t *account = &dispatcher->bodies.account;
    const pps_deployment_t *deployment = dispatcher->deployment;
    size_t owner_bytes =
        pps_byte_account_source_bytes(account, pps_body_owner_digest(owner));

    pps_counter_add(PPS_COUNTER_ENTRY_BODY_REFUSALS, 1);
    pps_logger_write(PPS_LOG_WARN, "body_refused",
                     PPS_FIELDS(PPS_STR("request", owner->id),
                                PPS_STR("owner", owner->name),
                                PPS_INT("bytes", bytes),
                                PPS_INT("owner_bytes", owner_bytes),
                                PPS_INT("all_bytes", account->bytes),
                                PPS_INT("max_bytes", account->max)));
    pps_decision_log_refused(owner->id, STATUS_UNAVAILABLE, "memory",
                             deployment != NULL ? deployment->revision : 0);
}

void
pps_decision_log_admitted(const pps_exchange_t *exchange)
{
    pps_counter_add(PPS_COUNTER_ENTRY_REQUESTS, 1);
    if (!pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(
        PPS_LOG_INFO, "admitted",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("route", exchange->route->name),
                   PPS_STR("upstream", exchange->upstream->name),
                   PPS_STR("workspace", exchange->workspace
                                            ? exchange->workspace->name
                                            : ""),
                   PPS_INT("revision", exchange->deployment->revision)));
}

void
pps_decision_log_sent(const pps_exchange_t *exchange)
{
    const pps_pool_worker_t *worker = exchange->worker;
    int64_t age_ms = worker->reported_us
                         ? US_TO_MS(now_us(exchange) - worker->reported_us)
                         : NO_REPORT_AGE;

    pps_counter_add(PPS_COUNTER_ENTRY_SENDS, 1);
    pps_counter_add(PPS_COUNTER_ENTRY_RELAYED, exchange->neighbour != NULL);
    if (!pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(
        PPS_LOG_INFO, "sent",
        PPS_FIELDS(
            PPS_STR("request", exchange->call.id),
            PPS_STR("worker", worker->info.id),
            PPS_STR("neighbour", exchange->neighbour != NULL
                                     ? exchange->neighbour->address
                                     : ""),
            PPS_STR("version", worker->info.version),
            PPS_STR("model", model_name(exchange)),
            PPS_INT("send", exchange->sends), PPS_INT("runs", exchange->runs),
            PPS_INT("behind_event",
                    exchange->has_last_event ? exchange->last_event : -1),
            PPS_INT("busy_here", worker->in_flight),
            PPS_INT("busy_reported", worker->reported_busy),
            PPS_INT("report_age_ms", age_ms),
            PPS_INT("left_ms",
                    US_TO_MS(pps_exchange_time_left_us(exchange)))));
}

void
pps_decision_log_answer_began(const pps_exchange_t *exchange,
                              unsigned int status, int confidence)
{
    if (!pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(
        PPS_LOG_INFO, "answer_began",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("worker", exchange->worker->info.id),
                   PPS_INT("status", status),
                   PPS_INT("confidence", confidence),
                   PPS_INT("after_ms",
                           US_TO_MS(now_us(exchange) - exchange->sent_us))));
}

void
pps_decision_log_larger_model(const pps_exchange_t *exchange, int confidence,
                              double load)
{
    pps_counter_add(PPS_COUNTER_ENTRY_ESCALATIONS, 1);
    if (!pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(PPS_LOG_INFO, "larger_model",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("model", model_name(exchange)),
                                PPS_INT("confidence", confidence),
                                PPS_INT("load_percent", load * 100)));
}

void
pps_decision_log_repeated(const pps_exchange_t *exchange, const char *reason,
                          int may_have_run)
{
    pps_counter_add(PPS_COUNTER_ENTRY_REPEATS, 1);
    pps_logger_write(
        PPS_LOG_WARN, "repeated",
        PPS_FIELDS(
            PPS_STR("request", exchange->call.id), PPS_STR("reason", reason),
            PPS_STR("worker", exchange->sends > 0
                                  ? exchange->tried[exchange->sends - 1]
                                  : ""),
            PPS_STR("connection", exchange->connection),
            PPS_INT("may_have_run", may_have_run),
            PPS_INT("runs", exchange->runs),
            PPS_INT("after_ms",
                    US_TO_MS(now_us(exchange) - exchange->sent_us)),
            PPS_INT("behind_event",
                    exchange->has_last_event ? exchange->last_event : -1)));
}

void
pps_decision_log_relay_failed(const pps_exchange_t *exchange)
{
    pps_counter_add(PPS_COUNTER_ENTRY_RELAYS_FAILED, 1);
    pps_logger_write(
        PPS_LOG_WARN, "relay_failed",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("neighbour", exchange->neighbour->address),
                   PPS_STR("worker", exchange->worker->info.id),
                   PPS_INT("failed", exchange->failed_relays)));
}

void
pps_decision_log_no_repeat(const pps_exchange_t *exchange)
{
    pps_logger_write(
        PPS_LOG_WARN, "no_repeat_left",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("worker", exchange->worker->info.id),
                   PPS_INT("runs", exchange->runs),
                   PPS_INT("attempts_max", exchange->route->attempts_max),
                   PPS_INT("left_ms",
                           US_TO_MS(pps_exchange_time_left_us(exchange)))));
}

void
pps_decision_log_foreign_answer(const pps_exchange_t *exchange)
{
    pps_counter_add(PPS_COUNTER_ENTRY_FOREIGN, 1);
    pps_logger_write(PPS_LOG_WARN, "foreign_answer",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("worker", exchange->worker->info.id)));
}

void
pps_decision_log_given_up(const pps_exchange_t *exchange,
                          const pps_pool_worker_t *worker,
                          const pps_held_t *held)
{
    const pps_byte_account_t *account = held->account;

    pps_counter_add(PPS_COUNTER_ENTRY_ANSWERS_GIVEN_UP, 1);
    pps_logger_write(
        PPS_LOG_WARN, "answer_given_up",
        PPS_FIELDS(PPS_STR("request", exchange->call.id),
                   PPS_STR("upstream", exchange->upstream->name),
                   PPS_STR("worker", worker->info.id),
                   PPS_STR("kind", pps_held_kind_name(held->kind)),
                   PPS_INT("bytes", held->bytes),
                   PPS_INT("worker_bytes", held->source->bytes),
                   PPS_INT("worker_answers", held->source->holdings),
                   PPS_INT("all_bytes", account->bytes),
                   PPS_INT("max_bytes", account->max)));
}

void
pps_decision_log_caller_slow(const pps_exchange_t *exchange, size_t queued)
{
    pps_counter_add(PPS_COUNTER_ENTRY_CALLERS_SLOW, 1);
    if (!pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(PPS_LOG_INFO, "caller_slow",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("worker", exchange->worker->info.id),
                                PPS_INT("queued_bytes", queued),
                                PPS_INT("last_event", exchange->last_event)));
}

void
pps_decision_log_ended(const pps_exchange_t *exchange, unsigned int status,
                       const char *outcome)
{
    int served = pps_http_status_is_success(status);

    pps_counter_add(
        served ? PPS_COUNTER_ENTRY_SERVED : PPS_COUNTER_ENTRY_UNSERVED, 1);
    if (served && !pps_logger_is_sampled(exchange->call.id)) {
        return;
    }
    pps_logger_write(
        served ? PPS_LOG_INFO : PPS_LOG_WARN, "ended",
        PPS_FIELDS(
            PPS_STR("request", exchange->call.id), PPS_INT("status", status),
            PPS_STR("outcome", outcome),
            PPS_STR("route", exchange->route->name),
            PPS_STR("worker",
                    exchange->worker ? exchange->worker->info.id : ""),
            PPS_INT("sends", exchange->sends), PPS_INT("runs", exchange->runs),
            PPS_INT("begun", exchange->begun),
            PPS_INT("last_event",
                    exchange->has_last_event ? exchange->last_event : -1),
            PPS_INT("silent_ms",
                    US_TO_MS(now_us(exchange) - exchange->last_received_us)),
            PPS_INT("workers", pps_pool_count(exchange->dispatcher->pool)),
            PPS_INT("after_ms", US_TO_MS(now_us(exchange) -
                                         exchange->request->received_us))));
}

/* Writes the digests of the last parts, with blanks between them. */
static void
write_parts(char *out, size_t size, const pps_call_t *call)
{
    size_t first = call->part_count > LOGGED_PARTS_MAX
                       ? call->part_count - LOGGED_PARTS_MAX
                       : 0;
    size_t used = 0;

    out[0] = '\0';
    for (size_t i = first; i < call->part_count; i++) {
        used += (size_t)snprintf(out + used, size - used, "%s" DIGEST_FORMAT,
                                 i > first ? " " : "", call->parts[i]);
    }
}

void
pps_decision_log_broken(const pps_exchange_t *exchange)
{
    int64_t answer_ms = exchange->answer_us != 0
                            ? US_TO_MS(now_us(exchange) - exchange->answer_us)
                            : NO_ANSWER;
    char parts[LOGGED_PARTS_MAX * DIGEST_TEXT_BYTES];
    char key[DIGEST_TEXT_BYTES];

    write_parts(parts, sizeof(parts), &exchange->call);
    snprintf(key, sizeof(key), DIGEST_FORMAT, exchange->request_key);
    pps_logger_write(
        PPS_LOG_WARN, "answer_broken",
        PPS_FIELDS(
            PPS_STR("request", exchange->call.id),
            PPS_STR("worker", exchange->worker->info.id),
            PPS_INT("start_ms", exchange->worker_start_ms),
            PPS_INT("sent_ms", US_TO_MS(now_us(exchange) - exchange->sent_us)),
            PPS_INT("answer_ms", answer_ms), PPS_STR("parts", parts),
            PPS_STR("key", key)));
}

void
pps_decision_log_convicted(const pps_poison_evidence_t *evidence,
                           const char *source)
{
    char key[DIGEST_TEXT_BYTES];

    snprintf(key, sizeof(key), DIGEST_FORMAT, evidence->key);
    pps_counter_add(PPS_COUNTER_ENTRY_POISON_FOUND, 1);
    pps_logger_write(
        PPS_LOG_WARN, "poison_found",
        PPS_FIELDS(
            PPS_STR("key", key),
            PPS_INT("is_request", pps_poison_key_is_request(evidence->key)),
            PPS_STR("source", source),
            PPS_INT("crashes", evidence->crash_count),
            PPS_INT("known_good", evidence->good_us != 0)));
}

void
pps_decision_log_poison_refused(const pps_exchange_t *exchange, uint64_t key)
{
    char text[DIGEST_TEXT_BYTES];

    snprintf(text, sizeof(text), DIGEST_FORMAT, key);
    pps_counter_add(PPS_COUNTER_ENTRY_POISON_REFUSED, 1);
    pps_logger_write(PPS_LOG_WARN, "poison_refused",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("key", text),
                                PPS_INT("runs", exchange->runs)));
}

void
pps_decision_log_poison_trial(const pps_exchange_t *exchange, uint64_t key)
{
    char text[DIGEST_TEXT_BYTES];

    snprintf(text, sizeof(text), DIGEST_FORMAT, key);
    pps_logger_write(PPS_LOG_WARN, "poison_trial",
                     PPS_FIELDS(PPS_STR("request", exchange->call.id),
                                PPS_STR("key", text)));
}
