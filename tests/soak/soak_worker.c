/** @file soak_worker.c @brief Runs stand-in workers that check requests. */
#include "soak.h"

#include "clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENT_COUNT 8
#define EVENT_INTERVAL_US (15 * PPS_US_PER_MS)
/** The operator's limit: a draining worker must get no new work after it. */
#define DRAIN_DEADLINE_US (2 * PPS_US_PER_S)

/** Pause that a full worker asks of a host, and the time after its answer from
 * which requests in it count; the rule allows two. */
#define PAUSE_US (2000 * PPS_US_PER_MS)
#define PAUSE_HEADER "Retry-After: 2.0\r\n"
#define PAUSE_COUNTS_AFTER_US (500 * PPS_US_PER_MS)
#define REQUESTS_IN_PAUSE_MAX 2

/** Number of workers of the version that the roll-out replaces. */
#define OLD_VERSION_WORKERS 3

/* An execution of a request. */
typedef struct {
    worker_t *worker;
    pps_http_conn_t *conn;
    char id[SOAK_TEXT_BYTES];
    int is_stream;
    int next_event;
    pps_timer_t timer;
} run_t;

static void
end_run(run_t *run)
{
    run->worker->running--;
    pps_timers_cancel(&run->timer);
    free(run);
}

static int
should_abort(const run_t *run)
{
    return run->worker->mode == WORKER_ABORTS &&
           pps_rng_below(&run->worker->soak->rng, 6) == 0;
}

static const char *
leaving_header(const worker_t *worker)
{
    return worker->draining_since_us != 0 ? "Server-Leaving: 1\r\n" : "";
}

/* Writes the headers of an answer and notes that it says leaving. */
static void
write_fields(char *out, size_t size, worker_t *worker, const char *id)
{
    request_t *request = soak_find_request(worker->soak, id);
    char limit[SOAK_TEXT_BYTES];
    char brittle[SOAK_TEXT_BYTES];
    char cold[SOAK_TEXT_BYTES];

    if (request != NULL && worker->draining_since_us != 0) {
        request->leaving_worker = (int)(worker - worker->soak->workers);
    }
    limit_write_field(limit, sizeof(limit), worker);
    if (request != NULL && worker->limit_per_s > 0) {
        request->limited_worker = (int)(worker - worker->soak->workers);
    }
    brittle_write_field(brittle, sizeof(brittle), worker);
    cold_write_field(cold, sizeof(cold), worker);
    if (request != NULL && cold_remaining_ms(worker) > 0) {
        request->cold_worker = (int)(worker - worker->soak->workers);
    }
    snprintf(out, size, "X-Request-Id: %s\r\nX-Response-Seal: %s\r\n%s%s%s%s",
             id, worker->id, leaving_header(worker), limit, brittle, cold);
}

static void
on_run_timer(int64_t now_us, void *user)
{
    run_t *run = user;
    pps_http_conn_t *conn = run->conn;
    char text[160];

    if (run->worker->mode == WORKER_SILENT) {
        pps_reactor_after(&run->worker->soak->reactor, &run->timer,
                          PPS_US_PER_S, on_run_timer, run);
        return;
    }
    if (should_abort(run)) {
        pps_http_conn_attach(conn, NULL);
        end_run(run);
        pps_http_conn_abort(conn);
        return;
    }
    if (run->is_stream && run->next_event <= EVENT_COUNT) {
        snprintf(text, sizeof(text), "id: %d\ndata: %s-%d\n\n",
                 run->next_event, run->id, run->next_event);
        pps_http_conn_chunk(conn, text, strlen(text));
        run->next_event++;
        pps_reactor_after(&run->worker->soak->reactor, &run->timer,
                          EVENT_INTERVAL_US, on_run_timer, run);
        return;
    }
    pps_http_conn_attach(conn, NULL);
    if (run->is_stream) {
        pps_http_conn_end(conn);
    }
    else {
        char fields[320];
        unsigned int status;

        write_fields(fields, sizeof(fields), run->worker, run->id);
        status = malformed_spoil(fields, sizeof(fields), run->worker->soak);
        snprintf(text, sizeof(text), "answer to %s", run->id);
        pps_http_conn_respond(conn, status, fields, text, strlen(text));
    }
    end_run(run);
}

static void
refuse(pps_http_conn_t *conn, unsigned int status, const char *id,
       const char *more_fields)
{
    char fields[512];

    snprintf(fields, sizeof(fields),
             "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n%s", id, more_fields);
    pps_http_conn_respond(conn, status, fields, "", 0);
}

/* Returns whether a host ran without a signal since a time. */
static int
ran_since(const soak_t *soak, int host, int64_t since_us)
{
    return soak->hosts[host].pid != 0 &&
           soak->hosts[host].undisturbed_since_us < since_us;
}

static void
check_leaving(const worker_t *worker, const request_t *request)
{
    soak_t *soak = worker->soak;
    int64_t told_us = worker->told_leaving_us[request->host];

    if (told_us != 0 && request->sent_us - told_us > DRAIN_DEADLINE_US &&
        ran_since(soak, request->host, told_us)) {
        soak_report_violation(
            soak, "a request for a worker that told its host that it leaves",
            request->id);
    }
}

static void
check_pause(worker_t *worker, const request_t *request)
{
    soak_t *soak = worker->soak;
    int64_t paused_us = worker->paused_us[request->host];
    int64_t in_pause_us = soak->reactor.now_us - paused_us;

    if (paused_us == 0 || in_pause_us < PAUSE_COUNTS_AFTER_US ||
        in_pause_us > PAUSE_US || !ran_since(soak, request->host, paused_us)) {
        return;
    }
    if (++worker->requests_in_pause[request->host] > REQUESTS_IN_PAUSE_MAX) {
        soak_report_violation(
            soak, "requests in the pause that the worker asked for",
            request->id);
    }
}

/* Refuses a request as a full worker does, half of the time with a pause. */
static void
refuse_full(worker_t *worker, pps_http_conn_t *conn, const char *id)
{
    soak_t *soak = worker->soak;
    const request_t *request = soak_find_request(soak, id);
    int asks_pause = request != NULL && pps_rng_below(&soak->rng, 2) == 0;
    char fields[SOAK_TEXT_BYTES];

    if (asks_pause && worker->proxy.mode == PROXY_PASS &&
        soak->reactor.now_us - worker->paused_us[request->host] > PAUSE_US) {
        worker->paused_us[request->host] = soak->reactor.now_us;
        worker->requests_in_pause[request->host] = 0;
    }
    snprintf(fields, sizeof(fields), "%s%s", leaving_header(worker),
             asks_pause ? PAUSE_HEADER : "");
    refuse(conn, 503, id, fields);
}

static void
check_request(worker_t *worker, const pps_http_request_t *request,
              request_t *recorded, const char *id)
{
    soak_t *soak = worker->soak;
    const char *workspace = pps_headers_get(&request->headers, "X-Tenant");

    if (recorded == NULL) {
        soak_report_violation(soak, "a worker ran what no client sent", id);
        return;
    }
    if (!recorded->has_valid_key) {
        soak_report_violation(
            soak, "a worker ran a request without a valid key", id);
    }
    if (workspace == NULL || strcmp(workspace, "team") != 0 ||
        pps_headers_get(&request->headers, "Authorization") != NULL) {
        soak_report_violation(soak,
                              "wrong workspace, or the key was passed on", id);
    }
    recorded->run_count++;
    if (recorded->at_most_once && recorded->run_count > 1) {
        soak_report_violation(soak, "ran twice", id);
    }
    if (recorded->was_refused) {
        soak_report_violation(soak, "ran after it was told as not run", id);
    }
    if (worker->draining_since_us != 0 &&
        soak->reactor.now_us - worker->draining_since_us >
            DRAIN_DEADLINE_US + PPS_US_PER_S &&
        soak->reactor.now_us - soak->store_changed_us > 5 * PPS_US_PER_S &&
        soak->in_recovery) {
        soak_report_violation(soak, "new work for a worker that leaves", id);
    }
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    worker_t *worker = user;
    soak_t *soak = worker->soak;
    const char *id = pps_headers_get(&request->headers, "X-Request-Id");
    const char *expected_id =
        pps_headers_get(&request->headers, "X-Expected-Instance");
    int64_t last_event_id = 0;
    request_t *recorded;
    char fields[320];
    run_t *run;

    if (id == NULL || expected_id == NULL ||
        strcmp(expected_id, worker->id) != 0) {
        refuse(conn, 421, id ? id : "", "");
        return;
    }
    recorded = soak_find_request(soak, id);
    if (recorded != NULL) {
        check_leaving(worker, recorded);
        evacuation_check(worker, recorded);
        check_pause(worker, recorded);
        limit_check(worker, recorded);
        cold_check(worker, recorded);
    }
    if (poison_handle(worker, conn, request, recorded)) {
        return;
    }
    if (worker->mode == WORKER_FULL && pps_rng_below(&soak->rng, 2) == 0) {
        refuse_full(worker, conn, id);
        return;
    }
    if (brittle_rejects(worker)) {
        brittle_write_field(fields, sizeof(fields), worker);
        refuse(conn, 503, id, fields);
        return;
    }
    check_request(worker, request, recorded, id);
    if (worker->mode == WORKER_ERRORS && pps_rng_below(&soak->rng, 2) == 0) {
        write_fields(fields, sizeof(fields), worker, id);
        pps_http_conn_respond(conn, 500, fields, "error", 5);
        return;
    }
    run = calloc(1, sizeof(*run));
    run->worker = worker;
    worker->running++;
    run->conn = conn;
    snprintf(run->id, sizeof(run->id), "%s", id);
    run->is_stream =
        strstr(pps_buf_text(&request->target), "/stream/") != NULL;
    pps_headers_get_number(&last_event_id, &request->headers, "Last-Event-Id");
    run->next_event = (int)last_event_id + 1;
    pps_http_conn_attach(conn, run);
    if (run->is_stream) {
        write_fields(fields, sizeof(fields), worker, id);
        pps_http_conn_begin(conn, 200, fields);
    }
    pps_reactor_after(&soak->reactor, &run->timer, EVENT_INTERVAL_US,
                      on_run_timer, run);
}

static void
on_disconnect(void *user, void *exchange)
{
    end_run(exchange);
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};

void
worker_write_entry(worker_t *worker, const char *state)
{
    soak_t *soak = worker->soak;
    char text[512];

    if (state == NULL) {
        store_put(&soak->store, "keyed.servers", worker->id, NULL);
        return;
    }
    snprintf(text, sizeof(text),
             "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"z%d\","
             "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
             "\"sequence\":%u,\"born\":%lld,\"cold_remaining_ms\":%lld}",
             worker->proxy.address, worker->id[1] % 2,
             worker - soak->workers < OLD_VERSION_WORKERS ? "v1" : "v2", state,
             ++worker->sequence, (long long)worker->start_ms,
             cold_remaining_ms(worker));
    store_put(&soak->store, "keyed.servers", worker->id, text);
}

void
worker_restart(worker_t *worker)
{
    worker->is_listed = 1;
    worker->draining_since_us = 0;
    worker->start_ms++;
    worker->sequence = 0;
    memset(worker->told_leaving_us, 0, sizeof(worker->told_leaving_us));
    memset(worker->paused_us, 0, sizeof(worker->paused_us));
    limit_end(worker);
    worker->cold_until_us = 0;
    cold_reset(worker);
    worker->rejected_per_s = -1;
    worker_write_entry(worker, "ready");
}

void
worker_start(worker_t *worker, soak_t *soak, int index)
{
    char target[SOAK_TEXT_BYTES];

    memset(worker, 0, sizeof(*worker));
    worker->soak = soak;
    worker->is_listed = 1;
    worker->rejected_per_s = -1;
    worker->start_ms = 1;
    snprintf(worker->id, sizeof(worker->id), "w%d", index);
    worker->limits = (pps_http_limits_t){8192, 1U << 20, 60 * PPS_US_PER_S,
                                         60 * PPS_US_PER_S};
    if (pps_http_server_new(&worker->server, &soak->reactor, "127.0.0.1", 0,
                            &worker->limits, &ops, worker) != 0) {
        abort();
    }
    snprintf(target, sizeof(target), "127.0.0.1:%u",
             pps_http_server_port(worker->server));
    proxy_start(&worker->proxy, &soak->reactor, target);
}
