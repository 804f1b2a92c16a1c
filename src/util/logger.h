/**
 * @file logger.h
 * @brief Logger: writes to standard error at once, or to a bounded buffer.
 */
#ifndef PPS_UTIL_LOGGER_H
#define PPS_UTIL_LOGGER_H

#include "fields.h"

/** Severity, in ascending order. */
typedef enum {
    PPS_LOG_DEBUG,
    PPS_LOG_INFO,
    PPS_LOG_WARN,
    PPS_LOG_ERROR,
} pps_log_level_t;

/** Format of a line. */
typedef enum {
    PPS_LOG_KEY_VALUE,
    PPS_LOG_JSON,
} pps_log_format_t;

/** Sets the format, the lowest severity written, and the host name. */
void
pps_logger_setup(pps_log_format_t format, pps_log_level_t min,
                 const char *host);

/** Logs a line in one write. `event` is a stable lower-case identifier. */
void
pps_logger_write(pps_log_level_t level, const char *event,
                 const pps_field_t *fields, size_t count);

/**
 * Buffers later lines until pps_logger_flush(), which writes them to `fd`, and
 * sets `fd` non-blocking. The process must have a single thread. Lines are
 * dropped and counted if the buffer would exceed 256 KiB, above four times
 * `lines_per_s` or, below PPS_LOG_WARN, above twice `lines_per_s`.
 * @param lines_per_s bound above which requests are sampled by their id
 */
void
pps_logger_buffer_output(int fd, unsigned int lines_per_s);

/** Writes as much of the buffered output as is possible without blocking. */
void
pps_logger_flush(void);

/** Returns whether to log the lines of the request `id`. The result is the
 * same for all lines of a request as long as the sample rate does not change.
 */
int
pps_logger_is_sampled(const char *id);

#endif
