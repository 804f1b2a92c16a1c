/** @file log_line.h @brief Reads the JSON lines that the logger writes. */
#ifndef PPS_UTIL_LOG_LINE_H
#define PPS_UTIL_LOG_LINE_H

#include <jansson.h>

/**
 * Reads a line as an event of the time line: its fields, with `time_us` in
 * place of `time` and `kind` in place of `event`. What a collector put before
 * the line is skipped.
 * @param seq number of the line, which orders lines of the same time
 * @return 0; PPS_ECORRUPT: it is no line of a log
 */
int
pps_log_line_read(json_t **out, const char *line, long long seq);

#endif
