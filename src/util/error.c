/** @file error.c @brief Stores the detail of the last error per thread. */
#include "papayaswitch/errors.h"

#include <stdarg.h>
#include <stdio.h>

#define DETAIL_BYTES 512

static _Thread_local char last_detail[DETAIL_BYTES];

void
pps_error_detail(const char *format, ...)
{
    va_list args;

    va_start(args, format);
    vsnprintf(last_detail, sizeof(last_detail), format, args);
    va_end(args);
}

const char *
pps_error_last(void)
{
    return last_detail;
}

const char *
pps_error_name(int code)
{
    static const char *const names[] = {
        "ok",          "generic", "no_memory", "invalid",
        "not_found",   "exists",  "conflict",  "timeout",
        "unavailable", "refused", "corrupt",   "limit",
        "closed",      "io",      "expired",   "unknown_outcome",
    };
    int index = -code;

    if (index < 0 || index >= (int)(sizeof(names) / sizeof(names[0]))) {
        return "unknown";
    }
    return names[index];
}
