/** @file test_log_line.c @brief Tests the parsing of log lines into events. */
#include "clock.h"
#include "log_line.h"
#include "logger.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

typedef struct {
    const char *what;
    const char *line;
    long long time_us; /* -1: not a log line */
} case_t;

static const case_t cases[] = {
    {"a line", "{\"time\":\"1970-01-01T00:00:02.000345Z\",\"event\":\"sent\"}",
     2000345},
    {"after a prefix of a collector",
     "   1.2 host-3 {\"time\":\"1970-01-02T00:00:00.500000Z\",\"event\":"
     "\"sent\"}\n",
     86400500000},
    {"a short fraction",
     "{\"time\":\"1970-01-01T00:00:02.5Z\",\"event\":\"sent\"}", 2500000},
    {"a long fraction",
     "{\"time\":\"1970-01-01T00:00:02.123456789Z\",\"event\":\"sent\"}",
     2123456},
    {"no fraction", "{\"time\":\"1970-01-01T00:00:02Z\",\"event\":\"sent\"}",
     2000000},
    {"no event", "{\"time\":\"1970-01-01T00:00:02.000345Z\"}", -1},
    {"no time", "{\"event\":\"sent\"}", -1},
    {"another time", "{\"time\":\"yesterday\",\"event\":\"sent\"}", -1},
    {"cut off", "{\"time\":\"1970-01-01T00:00:02.0", -1},
    {"text", "built in 3 s", -1},
    {"empty", "", -1},
};

Test(log_line, table)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        json_t *event = NULL;
        int error = pps_log_line_read(&event, cases[i].line, 7);

        if (cases[i].time_us < 0) {
            cr_expect_eq(error, PPS_ECORRUPT, "%s", cases[i].what);
            continue;
        }
        cr_assert_eq(error, 0, "%s", cases[i].what);
        cr_expect_eq(json_integer_value(json_object_get(event, "time_us")),
                     cases[i].time_us, "%s", cases[i].what);
        cr_expect_eq(json_integer_value(json_object_get(event, "seq")), 7);
        cr_expect_str_eq(json_string_value(json_object_get(event, "kind")),
                         "sent");
        json_decref(event);
    }
}

/* The parser accepts the output of the logger. */
Test(log_line, reads_logger_output)
{
    char text[1024];
    ssize_t size;
    json_t *event = NULL;
    int pipe_fds[2];

    cr_assert_eq(pipe(pipe_fds), 0);
    pps_logger_setup(PPS_LOG_JSON, PPS_LOG_INFO, "host-1");
    pps_logger_buffer_output(pipe_fds[1], 100);
    pps_logger_write(
        PPS_LOG_WARN, "ended",
        PPS_FIELDS(PPS_STR("request", "r\"1"), PPS_INT("status", 503)));
    pps_logger_flush();
    size = read(pipe_fds[0], text, sizeof(text) - 1);
    cr_assert_gt(size, 0);
    text[size] = '\0';
    cr_assert_eq(pps_log_line_read(&event, text, 1), 0);
    cr_expect_str_eq(json_string_value(json_object_get(event, "kind")),
                     "ended");
    cr_expect_str_eq(json_string_value(json_object_get(event, "host")),
                     "host-1");
    cr_expect_str_eq(json_string_value(json_object_get(event, "request")),
                     "r\"1");
    cr_expect_eq(json_integer_value(json_object_get(event, "status")), 503);
    json_decref(event);
}
