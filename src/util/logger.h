/**
 * @file logger.h
 * @brief Log lines: on standard error at once, or collected and bounded.
 */
#ifndef PPS_UTIL_LOGGER_H
#define PPS_UTIL_LOGGER_H

#include "fields.h"

/** Severity of a line. */
typedef enum {
    PPS_LOG_DEBUG,
    PPS_LOG_INFO,
    PPS_LOG_WARN,
    PPS_LOG_ERROR,
} pps_log_level_t;

/** Form of a line. */
typedef enum {
    PPS_LOG_KEY_VALUE,
    PPS_LOG_JSON,
} pps_log_format_t;

/** Sets the form, the least severity written, and the host's name. */
void
pps_logger_setup(pps_log_format_t format, pps_log_level_t least,
                 const char *host);

/** Writes one line in one write. `event` is a stable lower-case word. */
void
pps_logger_write(pps_log_level_t level, const char *event,
                 const pps_field_t *fields, size_t count);

/**
 * Has lines collected for pps_logger_flush() in place of written at once; for
 * processes with one thread.
 * @param lines_per_s bound; over it requests are sampled by their id
 */
void
pps_logger_buffer_output(int fd, unsigned int lines_per_s);

/** Writes what was collected, as far as it can be without waiting. */
void
pps_logger_flush(void);

/** Whether the lines of a request with that id are written; the same for all
 * lines of one request while the load stays as it is. */
int
pps_logger_is_sampled(const char *id);

#endif
