/** @file logger.c @brief Formats log lines, writes or buffers them. */
#include "logger.h"

#include "buf.h"
#include "clock.h"
#include "counters.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#define HOST_BYTES 64

static pps_log_format_t line_format = PPS_LOG_KEY_VALUE;
static pps_log_level_t min_level = PPS_LOG_INFO;
static char host_name[HOST_BYTES] = "-";

/* State of buffered output; used by one thread only. */
#define BUFFERED_BYTES_MAX (256U << 10)
static int buffer_fd = -1;
static unsigned int lines_per_s_max;
static unsigned int lines_in_second;
static unsigned int sample_percent = 100;
static int64_t current_second;
static pps_buf_t buffered;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

void
pps_logger_setup(pps_log_format_t format, pps_log_level_t min,
                 const char *host)
{
    line_format = format;
    min_level = min;
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
format_key_value(pps_buf_t *line, const char *timestamp, pps_log_level_t level,
                 const char *event, const pps_field_t *fields, size_t count)
{
    pps_buf_printf(line, "time=%s level=%s host=%s event=%s", timestamp,
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
write_json_text(pps_buf_t *line, const char *text)
{
    pps_buf_append(line, "\"", 1);
    for (; *text != '\0'; text++) {
        unsigned char byte = (unsigned char)*text;

        if (byte < ' ') {
            pps_buf_printf(line, "\\u%04x", byte);
            continue;
        }
        if (byte == '"' || byte == '\\') {
            pps_buf_append(line, "\\", 1);
        }
        pps_buf_append(line, text, 1);
    }
    pps_buf_append(line, "\"", 1);
}

static void
format_json(pps_buf_t *line, const char *timestamp, pps_log_level_t level,
            const char *event, const pps_field_t *fields, size_t count)
{
    pps_buf_printf(line,
                   "{\"time\":\"%s\",\"level\":\"%s\",\"host\":", timestamp,
                   level_names[level]);
    write_json_text(line, host_name);
    pps_buf_printf(line, ",\"event\":\"%s\"", event);
    for (size_t i = 0; i < count; i++) {
        pps_buf_printf(line, ",\"%s\":", fields[i].key);
        if (fields[i].text != NULL) {
            write_json_text(line, fields[i].text);
        }
        else {
            pps_buf_printf(line, "%" PRId64, fields[i].number);
        }
    }
    pps_buf_puts(line, "}");
}

void
pps_logger_buffer_output(int fd, unsigned int lines_per_s)
{
    buffer_fd = fd;
    lines_per_s_max = lines_per_s;
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

int
pps_logger_is_sampled(const char *id)
{
    return sample_percent >= 100 ||
           XXH64(id, strlen(id), 0) % 100 < sample_percent;
}

void
pps_logger_flush(void)
{
    ssize_t written;

    if (buffered.size == 0) {
        return;
    }
    written = write(buffer_fd, buffered.data, buffered.size);
    if (written > 0) {
        pps_buf_consume(&buffered, (size_t)written);
    }
}

/* Halves the sample rate if the last second exceeded the bound; doubles it if
 * that second had fewer lines than half of the bound. */
static void
adapt_sampling(int64_t now_s)
{
    if (now_s == current_second) {
        return;
    }
    if (lines_in_second > lines_per_s_max) {
        sample_percent = sample_percent > 1 ? sample_percent / 2 : 1;
    }
    else if (lines_in_second < lines_per_s_max / 2 && sample_percent < 100) {
        sample_percent *= 2;
    }
    current_second = now_s;
    lines_in_second = 0;
}

static void
buffer_line(const pps_buf_t *line, pps_log_level_t level, int64_t now_s)
{
    adapt_sampling(now_s);
    lines_in_second++;
    if (buffered.size + line->size > BUFFERED_BYTES_MAX ||
        (level < PPS_LOG_WARN && lines_in_second > lines_per_s_max * 2) ||
        lines_in_second > lines_per_s_max * 4) {
        pps_counter_add(PPS_COUNTER_LOG_LINES_DROPPED, 1);
        return;
    }
    pps_buf_append(&buffered, line->data, line->size);
}

void
pps_logger_write(pps_log_level_t level, const char *event,
                 const pps_field_t *fields, size_t count)
{
    pps_buf_t line = PPS_BUF_INIT;
    int64_t now_us = pps_clock_wall_us();
    time_t now_s = now_us / PPS_US_PER_S;
    struct tm utc;
    char date[32];
    char timestamp[48];

    if (level < min_level) {
        return;
    }
    gmtime_r(&now_s, &utc);
    strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(timestamp, sizeof(timestamp), "%s.%06dZ", date,
             (int)(now_us % PPS_US_PER_S));
    if (line_format == PPS_LOG_JSON) {
        format_json(&line, timestamp, level, event, fields, count);
    }
    else {
        format_key_value(&line, timestamp, level, event, fields, count);
    }
    pps_buf_puts(&line, "\n");
    if (buffer_fd >= 0) {
        buffer_line(&line, level, now_s);
    }
    else if (write(STDERR_FILENO, line.data, line.size) < 0) {
        /* A failed write to standard error cannot be reported. */
    }
    pps_buf_clear(&line);
}
