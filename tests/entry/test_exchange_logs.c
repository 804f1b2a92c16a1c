/**
 * @file test_exchange_logs.c
 * @brief Tests the log lines by which docs/OPERATIONS.md traces a failed
 * request's id to the cause of the failure.
 */
#include "exchange_fixture.h"
#include "logger.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINES 4
#define LOG_BYTES 16384

typedef struct {
    const char *event;
    const char *fields; /* "name=value" pairs, separated by commas */
} line_t;

typedef struct {
    const char *what;
    const char *path;
    net_answer_t script[4];
    line_t lines[LINES]; /* in this order */
} case_t;

static const case_t cases[] = {
    {"a stream that could not be resumed",
     "/stream/",
     {{STREAM "\r\n" EVENT("1"), NET_CLOSE},
      {NULL, NET_CLOSE},
      {NULL, NET_CLOSE},
      {NULL, NET_CLOSE}},
     {{"admitted", "route=c,workspace=team,revision=1"},
      {"repeated", "reason=connection_lost,may_have_run=1,behind_event=1"},
      {"sent", "send=2,behind_event=1,report_age_ms=-1"},
      {"ended", "status=0,outcome=connection_lost,begun=1,last_event=1"}}},
    {"an answer that is cut off at a worker that goes on",
     "/once/",
     {{STREAM "\r\n" EVENT("1"), NET_RESET}},
     {{"answer_began", "status=200"},
      {"answer_broken", "start_ms=0,parts="},
      {"ended", "status=502,outcome=connection_lost,runs=1"}}},
    {"a refusal because all workers are full",
     "/once/",
     {{FULL, NET_KEEP}, {FULL, NET_KEEP}, {FULL, NET_KEEP}},
     {{"sent", "send=1,runs=1,busy_here=1"},
      {"answer_began", "status=503"},
      {"repeated", "reason=worker_full,may_have_run=0,runs=0"},
      {"ended", "status=503,outcome=no_worker,runs=0,workers=3"}}},
    {"a failed request that may have run once",
     "/once/",
     {{NULL, NET_CLOSE}},
     {{"admitted", "route=b,workspace=team"},
      {"sent", "send=1,runs=1"},
      {"ended", "status=502,outcome=connection_lost,runs=1"}}},
};

static int
has_field(const json_t *line, const char *name, const char *value)
{
    const json_t *field = json_object_get(line, name);
    char number[32];

    if (json_is_string(field)) {
        return strcmp(json_string_value(field), value) == 0;
    }
    snprintf(number, sizeof(number), "%lld",
             (long long)json_integer_value(field));
    return json_is_integer(field) && strcmp(number, value) == 0;
}

static int
matches(const json_t *line, const line_t *expected)
{
    char fields[256];
    char *rest = fields;
    char *field;

    if (!has_field(line, "event", expected->event) ||
        !has_field(line, "request", "r1")) {
        return 0;
    }
    snprintf(fields, sizeof(fields), "%s", expected->fields);
    while ((field = strsep(&rest, ",")) != NULL) {
        char *value = strchr(field, '=');

        *value++ = '\0';
        if (!has_field(line, field, value)) {
            return 0;
        }
    }
    return 1;
}

/* Returns the event of the first line that is missing from the log, or NULL.
 * The log may have other lines in between. */
static const char *
first_missing(const case_t *item, char *log)
{
    size_t found = 0;
    char *text;

    while ((text = strsep(&log, "\n")) != NULL) {
        json_t *line = json_loads(text, 0, NULL);

        if (found < LINES && item->lines[found].event != NULL &&
            matches(line, &item->lines[found])) {
            found++;
        }
        json_decref(line);
    }
    return found < LINES ? item->lines[found].event : NULL;
}

Test(exchange_logs, failed_requests_are_traceable)
{
    static char log[LOG_BYTES];
    int pipe_fds[2];

    cr_assert_eq(pipe(pipe_fds), 0);
    pps_logger_setup(PPS_LOG_JSON, PPS_LOG_INFO, "host-1");
    pps_logger_buffer_output(pipe_fds[1], 1000);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        fixture_t fixture;
        net_client_t client;
        const char *missing;
        ssize_t size;

        fixture_start(&fixture, cases[i].script, 4);
        net_server_share_script(fixture.workers, FIXTURE_WORKERS);
        fixture_run_request(&fixture, &client, cases[i].path, "");
        pps_logger_flush();
        size = read(pipe_fds[0], log, sizeof(log) - 1);
        cr_assert_gt(size, 0);
        log[size] = '\0';
        missing = first_missing(&cases[i], log);
        cr_expect_null(missing, "%s: no matching line '%s'", cases[i].what,
                       missing ? missing : "");
    }
}
