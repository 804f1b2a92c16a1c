/** @file test_worker_wire.c @brief Tests what a worker's reply says of the
 * worker: that it leaves, and the pause that it wants. */
#include "worker_wire.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define MS PPS_US_PER_MS
#define S PPS_US_PER_S

typedef struct {
    const char *what;
    unsigned int status;
    const char *pause; /* value of the header; NULL: absent */
    int64_t pause_us;
    int is_invalid;
} pause_case_t;

static const pause_case_t pauses[] = {
    {"none", 503, NULL, 0, 0},
    {"whole seconds", 503, "3", 3 * S, 0},
    {"a fraction", 503, "0.25", 250 * MS, 0},
    {"zero", 503, "0", 0, 0},
    {"on a success", 200, "3", 0, 0},
    {"negative", 503, "-3", 0, 1},
    {"huge", 503, "99999999999", PPS_PAUSE_MAX_US, 1},
    {"infinite", 503, "inf", PPS_PAUSE_MAX_US, 1},
    {"not a number", 503, "nan", 0, 1},
    {"a date", 503, "Fri, 04 Dec 2026 08:00:00 GMT", 0, 1},
    {"a number with a unit", 503, "3s", 0, 1},
    {"empty", 503, "", 0, 1},
};

static void
add_header(pps_http_reply_t *reply, const char *name, const char *value)
{
    pps_headers_append_name(&reply->headers, name, strlen(name));
    pps_headers_append_value(&reply->headers, value, strlen(value));
}

Test(worker_wire, pause)
{
    for (size_t i = 0; i < sizeof(pauses) / sizeof(*pauses); i++) {
        pps_http_reply_t reply = {.status = pauses[i].status};
        pps_worker_reply_t decoded;

        if (pauses[i].pause != NULL) {
            add_header(&reply, "Retry-After", pauses[i].pause);
        }
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.pause_us, pauses[i].pause_us, "%s: %lld",
                     pauses[i].what, (long long)decoded.pause_us);
        cr_expect_eq(decoded.invalid_pause, pauses[i].is_invalid, "%s",
                     pauses[i].what);
        pps_headers_clear(&reply.headers);
    }
}

typedef struct {
    const char *what;
    unsigned int status;
    const char *value;
    int leaving;
} leaving_case_t;

static const leaving_case_t leavings[] = {
    {"a success", 200, "1", 1},
    {"a failure", 500, "1", 1},
    {"a refusal", 503, "1", 1},
    {"another worker at the address", 421, "1", 0},
    {"another value", 200, "0", 0},
};

Test(worker_wire, leaving)
{
    for (size_t i = 0; i < sizeof(leavings) / sizeof(*leavings); i++) {
        pps_http_reply_t reply = {.status = leavings[i].status};
        pps_worker_reply_t decoded;
        pps_buf_t forwarded = PPS_BUF_INIT;

        add_header(&reply, "Server-Leaving", leavings[i].value);
        add_header(&reply, "X-Odd", "kept");
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.leaving, leavings[i].leaving, "%s",
                     leavings[i].what);
        pps_worker_wire_ops.fields(&forwarded, &reply);
        cr_expect_str_eq(pps_buf_text(&forwarded), "X-Odd: kept\r\n");
        pps_buf_clear(&forwarded);
        pps_headers_clear(&reply.headers);
    }
}
