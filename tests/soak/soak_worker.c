/** @file soak_worker.c @brief Stand-ins of workers. */
#include "soak.h"

#include "clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS 8
#define EVENT_US (15 * PPS_US_PER_MS)
/** The operator's bound on work for a worker that leaves. */
#define DRAIN_US (2 * PPS_US_PER_S)

/* A run of one request. */
typedef struct {
    worker_t *worker;
    pps_http_conn_t *conn;
    char id[SOAK_TEXT];
    int stream;
    int next; /* event */
    pps_timer_t timer;
} run_t;

static void
end_run(run_t *run)
{
    pps_timers_cancel(&run->timer);
    free(run);
}

static int
breaks_off(const run_t *run)
{
    return run->worker->mode == WORKER_CUTS &&
           pps_rng_below(&run->worker->soak->rng, 6) == 0;
}

static void
on_run_timer(int64_t now_us, void *user)
{
    run_t *run = user;
    pps_http_conn_t *conn = run->conn;
    char text[160];

    if (run->worker->mode == WORKER_MUTE) {
        pps_reactor_after(&run->worker->soak->reactor, &run->timer,
                          PPS_US_PER_S, on_run_timer, run);
        return;
    }
    if (breaks_off(run)) {
        pps_http_conn_attach(conn, NULL);
        end_run(run);
        pps_http_conn_abort(conn);
        return;
    }
    if (run->stream && run->next <= EVENTS) {
        snprintf(text, sizeof(text), "id: %d\ndata: %s-%d\n\n", run->next,
                 run->id, run->next);
        pps_http_conn_chunk(conn, text, strlen(text));
        run->next++;
        pps_reactor_after(&run->worker->soak->reactor, &run->timer, EVENT_US,
                          on_run_timer, run);
        return;
    }
    pps_http_conn_attach(conn, NULL);
    if (run->stream) {
        pps_http_conn_end(conn);
    }
    else {
        char fields[256];

        snprintf(fields, sizeof(fields),
                 "X-Request-Id: %s\r\nX-Response-Seal: %s\r\n", run->id,
                 run->worker->id);
        snprintf(text, sizeof(text), "answer to %s", run->id);
        pps_http_conn_respond(conn, 200, fields, text, strlen(text));
    }
    end_run(run);
}

static void
refuse(pps_http_conn_t *conn, unsigned int status, const char *id)
{
    char fields[256];

    snprintf(fields, sizeof(fields),
             "X-Request-Id: %s\r\nX-Not-Executed: 1\r\n", id);
    pps_http_conn_respond(conn, status, fields, "", 0);
}

static void
check_request(worker_t *worker, const pps_http_request_t *request,
              request_t *known, const char *id)
{
    soak_t *soak = worker->soak;
    const char *workspace = pps_headers_get(&request->headers, "X-Tenant");

    if (known == NULL) {
        soak_broken(soak, "a worker ran what no client sent", id);
        return;
    }
    if (!known->allowed) {
        soak_broken(soak, "a worker ran a request without a valid key", id);
    }
    if (workspace == NULL || strcmp(workspace, "team") != 0 ||
        pps_headers_get(&request->headers, "Authorization") != NULL) {
        soak_broken(soak, "wrong workspace, or the key was passed on", id);
    }
    known->runs++;
    if (known->once && known->runs > 1) {
        soak_broken(soak, "ran twice", id);
    }
    if (known->refused) {
        soak_broken(soak, "ran after it was told as not run", id);
    }
    if (worker->leaving_us != 0 &&
        soak->reactor.now_us - worker->leaving_us > DRAIN_US + PPS_US_PER_S &&
        soak->reactor.now_us - soak->store_well_us > 5 * PPS_US_PER_S &&
        soak->calm) {
        soak_broken(soak, "new work for a worker that leaves", id);
    }
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    worker_t *worker = user;
    soak_t *soak = worker->soak;
    const char *id = pps_headers_get(&request->headers, "X-Request-Id");
    const char *expected =
        pps_headers_get(&request->headers, "X-Expected-Instance");
    int64_t behind = 0;
    char fields[256];
    run_t *run;

    if (id == NULL || expected == NULL || strcmp(expected, worker->id) != 0) {
        refuse(conn, 421, id ? id : "");
        return;
    }
    if (worker->mode == WORKER_FULL && pps_rng_below(&soak->rng, 2) == 0) {
        refuse(conn, 503, id);
        return;
    }
    check_request(worker, request, soak_request(soak, id), id);
    if (worker->mode == WORKER_ERRORS && pps_rng_below(&soak->rng, 2) == 0) {
        snprintf(fields, sizeof(fields),
                 "X-Request-Id: %s\r\nX-Response-Seal: e\r\n", id);
        pps_http_conn_respond(conn, 500, fields, "error", 5);
        return;
    }
    run = calloc(1, sizeof(*run));
    run->worker = worker;
    run->conn = conn;
    snprintf(run->id, sizeof(run->id), "%s", id);
    run->stream = strstr(pps_buf_text(&request->target), "/stream/") != NULL;
    pps_headers_get_number(&behind, &request->headers, "Last-Event-Id");
    run->next = (int)behind + 1;
    pps_http_conn_attach(conn, run);
    if (run->stream) {
        snprintf(fields, sizeof(fields),
                 "X-Request-Id: %s\r\nX-Response-Seal: %s\r\n", id,
                 worker->id);
        pps_http_conn_begin(conn, 200, fields);
    }
    pps_reactor_after(&soak->reactor, &run->timer, EVENT_US, on_run_timer,
                      run);
}

static void
on_gone(void *user, void *exchange)
{
    end_run(exchange);
}

static const pps_http_server_ops_t ops = {on_request, on_gone};

void
worker_beat(worker_t *worker, const char *state)
{
    soak_t *soak = worker->soak;
    char text[512];

    if (state == NULL) {
        store_put(&soak->store, "keyed.servers", worker->id, NULL);
        return;
    }
    snprintf(text, sizeof(text),
             "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"z%d\","
             "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
             "\"sequence\":%u,\"born\":1}",
             worker->proxy.address, worker->id[1] % 2, state,
             ++worker->sequence);
    store_put(&soak->store, "keyed.servers", worker->id, text);
}

void
worker_start(worker_t *worker, soak_t *soak, int index)
{
    char target[SOAK_TEXT];

    memset(worker, 0, sizeof(*worker));
    worker->soak = soak;
    worker->listed = 1;
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
