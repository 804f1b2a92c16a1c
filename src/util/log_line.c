/** @file log_line.c @brief Parses a JSON log line into an event. */
#include "log_line.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <ctype.h>
#include <string.h>
#include <time.h>

#define US_PER_S 1000000

/* Reads ".5Z", ".500000Z" or "Z" as microseconds; further digits are cut.
 * @return 0 or PPS_ECORRUPT */
static int
parse_fraction(int *out, const char *text)
{
    int unit = US_PER_S / 10;

    *out = 0;
    if (*text == '.') {
        for (text++; isdigit((unsigned char)*text); text++) {
            *out += (*text - '0') * unit;
            unit /= 10;
        }
    }
    return *text == 'Z' ? PPS_OK : PPS_ECORRUPT;
}

/* Parses the timestamp of the logger, 2026-12-04T02:36:06.186137Z. */
static int
parse_timestamp(long long *out, const char *text)
{
    struct tm utc = {0};
    const char *fraction =
        text != NULL ? strptime(text, "%Y-%m-%dT%H:%M:%S", &utc) : NULL;
    int us;

    if (fraction == NULL || parse_fraction(&us, fraction) != 0) {
        return PPS_ECORRUPT;
    }
    *out = (long long)timegm(&utc) * PPS_US_PER_S + us;
    return PPS_OK;
}

int
pps_log_line_read(json_t **out, const char *line, long long seq)
{
    const char *begin = strchr(line, '{');
    json_t *event =
        begin != NULL ? json_loads(begin, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    const json_t *name = json_object_get(event, "event");
    long long time_us;

    if (!json_is_string(name) ||
        parse_timestamp(&time_us, json_string_value(
                                      json_object_get(event, "time"))) != 0) {
        json_decref(event);
        return pps_error_set(PPS_ECORRUPT, "not a log line");
    }
    json_object_set_new(event, "kind", json_string(json_string_value(name)));
    json_object_set_new(event, "time_us", json_integer(time_us));
    json_object_set_new(event, "seq", json_integer(seq));
    json_object_del(event, "event");
    json_object_del(event, "time");
    *out = event;
    return PPS_OK;
}
