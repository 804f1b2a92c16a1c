/** @file log_line.h @brief Reads the JSON lines that the logger writes. */
#ifndef PPS_UTIL_LOG_LINE_H
#define PPS_UTIL_LOG_LINE_H

#include <jansson.h>

/**
 * Parses a line into an event of the time line: its fields, with `time_us`
 * instead of `time` and `kind` instead of `event`. A prefix that a log
 * collector added is skipped, and text after the object is ignored.
 * @param seq line number, which orders lines of the same time
 * @return 0; PPS_ECORRUPT if it is not a log line
 */
int
pps_log_line_read(json_t **out, const char *line, long long seq);

#endif
