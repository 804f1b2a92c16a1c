/** @file logger.c @brief Key-value or JSON lines on standard error. */
#include "logger.h"

#include "buf.h"
#include "clock.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define HOST_BYTES 64

static pps_log_format_t line_format = PPS_LOG_KEY_VALUE;
static pps_log_level_t least_level = PPS_LOG_INFO;
static char host_name[HOST_BYTES] = "-";

static const char *const level_names[] = {"debug", "info", "warn", "error"};

void
pps_logger_setup(pps_log_format_t format, pps_log_level_t least,
                 const char *host)
{
    line_format = format;
    least_level = least;
    snprintf(host_name, sizeof(host_name), "%s", host);
}

static void
write_value(pps_buf_t *line, const char *text)
{
    if (text[0] != '\0' && strpbrk(text, " \"=\n\r\t\\") == NULL) {
        pps_buf_puts(line, text);
        return;
    }
    pps_buf_puts(line, "\"");
    for (; *text != '\0'; text++) {
        if (*text == '\n' || *text == '\r') {
            pps_buf_puts(line, "\\n");
            continue;
        }
        if (*text == '"' || *text == '\\') {
            pps_buf_puts(line, "\\");
        }
        pps_buf_append(line, text, 1);
    }
    pps_buf_puts(line, "\"");
}

static void
format_key_value(pps_buf_t *line, const char *when, pps_log_level_t level,
                 const char *event, const pps_field_t *fields, size_t count)
{
    pps_buf_printf(line, "time=%s level=%s host=%s event=%s", when,
                   level_names[level], host_name, event);
    for (size_t i = 0; i < count; i++) {
        pps_buf_printf(line, " %s=", fields[i].key);
        if (fields[i].text != NULL) {
            write_value(line, fields[i].text);
        }
        else {
            pps_buf_printf(line, "%" PRId64, fields[i].number);
        }
    }
}

static void
format_json(pps_buf_t *line, const char *when, pps_log_level_t level,
            const char *event, const pps_field_t *fields, size_t count)
{
    json_t *object =
        json_pack("{s:s, s:s, s:s, s:s}", "time", when, "level",
                  level_names[level], "host", host_name, "event", event);
    char *text;

    for (size_t i = 0; object != NULL && i < count; i++) {
        json_object_set_new(object, fields[i].key,
                            fields[i].text ? json_string(fields[i].text)
                                           : json_integer(fields[i].number));
    }
    text = json_dumps(object, JSON_COMPACT);
    if (text != NULL) {
        pps_buf_puts(line, text);
    }
    free(text);
    json_decref(object);
}

void
pps_logger_write(pps_log_level_t level, const char *event,
                 const pps_field_t *fields, size_t count)
{
    pps_buf_t line = PPS_BUF_INIT;
    int64_t now = pps_clock_wall_us();
    time_t seconds = now / PPS_US_PER_S;
    struct tm parts;
    char date[32];
    char when[48];

    if (level < least_level) {
        return;
    }
    gmtime_r(&seconds, &parts);
    strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(when, sizeof(when), "%s.%06dZ", date, (int)(now % PPS_US_PER_S));
    if (line_format == PPS_LOG_JSON) {
        format_json(&line, when, level, event, fields, count);
    }
    else {
        format_key_value(&line, when, level, event, fields, count);
    }
    pps_buf_puts(&line, "\n");
    if (write(STDERR_FILENO, line.data, line.size) < 0) {
        /* Nowhere left to report to. */
    }
    pps_buf_clear(&line);
}
