/** @file brittle_worker.c @brief Implements the brittle worker. */
#include "brittle_worker.h"

#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    struct cds_list_head node;
    brittle_worker_t *worker;
    pps_http_conn_t *conn; /* NULL: the caller has left */
    char id[64];
    unsigned int size; /* of its memory, in slots */
    int is_running;
    pps_timer_t timer;
} run_t;

static void
start_next(brittle_worker_t *worker);

static void
remove_run(run_t *run)
{
    if (run->is_running) {
        run->worker->running--;
        run->worker->memory_used -= run->size;
    }
    else {
        run->worker->waiting--;
    }
    cds_list_del(&run->node);
    pps_timers_cancel(&run->timer);
    free(run);
}

static void
write_fields(char *out, size_t size, const brittle_worker_t *worker,
             const char *id, const char *more)
{
    char brittle[32] = "";

    if (!worker->options.is_quiet) {
        snprintf(brittle, sizeof(brittle), "Server-Brittle: %u\r\n",
                 worker->options.rejected_per_s);
    }
    snprintf(out, size, "X-Request-Id: %s\r\nX-Server-Load: %u,%u,%u\r\n%s%s",
             id, worker->running, worker->waiting, worker->options.slots,
             brittle, more);
}

static void
on_done(int64_t now_us, void *user)
{
    run_t *run = user;
    brittle_worker_t *worker = run->worker;
    pps_http_conn_t *conn = run->conn;
    int is_large = run->size > 1;
    char fields[256];

    write_fields(fields, sizeof(fields), worker, run->id,
                 "X-Response-Seal: s\r\n");
    remove_run(run);
    worker->served++;
    worker->served_large += is_large != 0;
    if (conn != NULL) {
        pps_http_conn_attach(conn, NULL);
        pps_http_conn_respond(conn, 200, fields, "hi", 2);
    }
    start_next(worker);
}

static int
has_place(const brittle_worker_t *worker, unsigned int size)
{
    return worker->running < worker->options.slots &&
           worker->memory_used + size <= worker->options.slots;
}

static void
start_next(brittle_worker_t *worker)
{
    run_t *run;

    cds_list_for_each_entry (run, &worker->runs, node) {
        if (!run->is_running) {
            if (!has_place(worker, run->size)) {
                return;
            }
            run->is_running = 1;
            worker->memory_used += run->size;
            worker->waiting--;
            worker->running++;
            pps_reactor_after(worker->reactor, &run->timer,
                              worker->options.work_ms * PPS_US_PER_MS, on_done,
                              run);
        }
    }
}

static void
on_restart(int64_t now_us, void *user)
{
    brittle_worker_t *worker = user;

    worker->is_down = 0;
    if (worker->on_restart != NULL) {
        worker->on_restart(worker->user);
    }
}

void
brittle_worker_kill(brittle_worker_t *worker)
{
    run_t *run;
    run_t *next;

    worker->is_down = 1;
    worker->rejected = 0;
    cds_list_for_each_entry_safe (run, next, &worker->runs, node) {
        pps_http_conn_t *conn = run->conn;

        remove_run(run);
        if (conn != NULL) {
            pps_http_conn_attach(conn, NULL);
            pps_http_conn_abort(conn);
        }
    }
    pps_reactor_after(worker->reactor, &worker->down_timer,
                      worker->options.down_ms * PPS_US_PER_MS, on_restart,
                      worker);
}

/* Returns the rejections of the last second, this one included. */
static unsigned int
count_rejection(brittle_worker_t *worker)
{
    int64_t now_us = worker->reactor->now_us;
    unsigned int kept = 0;

    for (unsigned int i = 0; i < worker->rejected; i++) {
        if (now_us - worker->rejected_us[i] < PPS_US_PER_S) {
            worker->rejected_us[kept++] = worker->rejected_us[i];
        }
    }
    if (kept < BRITTLE_REJECTIONS_MAX) {
        worker->rejected_us[kept++] = now_us;
    }
    worker->rejected = kept;
    return kept;
}

/* Returns the slots' worth of memory that a request takes. */
static unsigned int
size_of(const pps_http_request_t *request, unsigned int slots)
{
    const char *text = pps_headers_get(&request->headers, "X-Token-Usage");
    unsigned long tokens = text != NULL ? strtoul(text, NULL, 10) : 0;

    return (unsigned int)(tokens * slots / FIXTURE_MEMORY_TOKENS) + 1;
}

static int
can_take(const brittle_worker_t *worker, unsigned int size)
{
    return (worker->waiting == 0 && has_place(worker, size)) ||
           worker->waiting < worker->options.room;
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    brittle_worker_t *worker = user;
    const char *id = pps_headers_get(&request->headers, "X-Request-Id");
    unsigned int size = size_of(request, worker->options.slots);
    char fields[256];
    run_t *run;

    if (worker->is_down) {
        pps_http_conn_abort(conn);
        return;
    }
    if (!can_take(worker, size)) {
        write_fields(fields, sizeof(fields), worker, id,
                     "X-Not-Executed: 1\r\n");
        pps_http_conn_respond(conn, 503, fields, "", 0);
        worker->rejected_in_all++;
        if (!worker->options.is_quiet &&
            count_rejection(worker) > worker->options.rejected_per_s) {
            worker->falls++;
            brittle_worker_kill(worker);
        }
        return;
    }
    run = calloc(1, sizeof(*run));
    run->worker = worker;
    run->conn = conn;
    run->size = size;
    snprintf(run->id, sizeof(run->id), "%s", id);
    cds_list_add_tail(&run->node, &worker->runs);
    worker->waiting++;
    pps_http_conn_attach(conn, run);
    start_next(worker);
}

static void
on_disconnect(void *user, void *exchange)
{
    const brittle_worker_t *worker = user;
    run_t *run = exchange;

    if (worker->options.works_on) {
        run->conn = NULL;
        return;
    }
    remove_run(run);
    start_next(user);
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};

void
brittle_worker_start(brittle_worker_t *worker, pps_reactor_t *reactor,
                     const brittle_options_t *options)
{
    memset(worker, 0, sizeof(*worker));
    worker->reactor = reactor;
    worker->options = *options;
    worker->limits =
        (pps_http_limits_t){8192, 65536, 60 * PPS_US_PER_S, 60 * PPS_US_PER_S};
    CDS_INIT_LIST_HEAD(&worker->runs);
    cr_assert_eq(pps_http_server_new(&worker->server, reactor, "127.0.0.1", 0,
                                     &worker->limits, &ops, worker),
                 0);
    snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
             pps_http_server_port(worker->server));
}
