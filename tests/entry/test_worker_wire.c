/** @file test_worker_wire.c @brief Tests what a worker's reply says of the
 * worker: that it leaves, the pause that it wants and the limit it names. */
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

typedef struct {
    const char *what;
    unsigned int status;
    const char *value; /* NULL: absent */
    int has_limit;
    double per_s;
    int is_invalid;
} limit_case_t;

static const limit_case_t limits[] = {
    {"none", 200, NULL, 0, 0, 0},
    {"a whole number", 200, "12", 1, 12, 0},
    {"a fraction", 200, "1.3", 1, 1.3, 0},
    {"zero", 200, "0", 1, 0, 0},
    {"on a failure", 500, "2", 1, 2, 0},
    {"on a refusal", 503, "2", 1, 2, 0},
    {"another worker at the address", 421, "2", 0, 0, 0},
    {"negative", 200, "-1", 0, 0, 1},
    {"huge", 200, "1e300", 0, 0, 1},
    {"infinite", 200, "inf", 0, 0, 1},
    {"not a number", 200, "nan", 0, 0, 1},
    {"a number with a unit", 200, "3/s", 0, 0, 1},
    {"empty", 200, "", 0, 0, 1},
};

Test(worker_wire, limit)
{
    for (size_t i = 0; i < sizeof(limits) / sizeof(*limits); i++) {
        const limit_case_t *item = &limits[i];
        pps_http_reply_t reply = {.status = item->status};
        pps_worker_reply_t decoded;
        pps_buf_t forwarded = PPS_BUF_INIT;

        if (item->value != NULL) {
            add_header(&reply, "Server-Limit", item->value);
        }
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.has_limit, item->has_limit, "%s", item->what);
        cr_expect_eq(decoded.limit_per_s, item->per_s, "%s", item->what);
        cr_expect_eq(decoded.invalid_limit, item->is_invalid, "%s",
                     item->what);
        pps_worker_wire_ops.fields(&forwarded, &reply);
        cr_expect_str_eq(pps_buf_text(&forwarded), "");
        pps_buf_clear(&forwarded);
        pps_headers_clear(&reply.headers);
    }
}

typedef struct {
    const char *what;
    unsigned int status;
    const char *value; /* NULL: absent */
    int is_brittle;
    int is_invalid;
} brittle_case_t;

static const brittle_case_t brittle_cases[] = {
    {"not stated", 200, NULL, 0, 0},
    {"stated", 200, "5", 1, 0},
    {"none may be rejected", 200, "0", 1, 0},
    {"on a rejection", 503, "5", 1, 0},
    {"on a failure", 500, "5", 1, 0},
    {"another worker at the address", 421, "5", 0, 0},
    {"negative", 200, "-1", 0, 1},
    {"not a number", 200, "nan", 0, 1},
    {"a number with a unit", 200, "5/s", 0, 1},
    {"empty", 200, "", 0, 1},
};

Test(worker_wire, brittle)
{
    for (size_t i = 0; i < sizeof(brittle_cases) / sizeof(*brittle_cases);
         i++) {
        const brittle_case_t *item = &brittle_cases[i];
        pps_http_reply_t reply = {.status = item->status};
        pps_worker_reply_t decoded;
        pps_buf_t forwarded = PPS_BUF_INIT;

        if (item->value != NULL) {
            add_header(&reply, "Server-Brittle", item->value);
        }
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.is_brittle, item->is_brittle, "%s", item->what);
        cr_expect_eq(decoded.invalid_brittle, item->is_invalid, "%s",
                     item->what);
        pps_worker_wire_ops.fields(&forwarded, &reply);
        cr_expect_str_eq(pps_buf_text(&forwarded), "");
        pps_buf_clear(&forwarded);
        pps_headers_clear(&reply.headers);
    }
}

typedef struct {
    const char *what;
    unsigned int status;
    const char *value; /* NULL: absent */
    int64_t cold_us;   /* negative: not stated */
} cold_case_t;

static const cold_case_t cold_cases[] = {
    {"not stated", 200, NULL, -1},
    {"stated", 200, "2500", 2500000},
    {"on a rejection", 503, "2500", 2500000},
    {"not cold", 200, "0", 0},
    {"another worker at the address", 421, "2500", -1},
    {"negative", 200, "-1", -1},
    {"too long", 200, "3600001", -1},
    {"overflows", 200, "9223372036854775807", -1},
    {"not a number", 200, "nan", -1},
    {"empty", 200, "", -1},
};

/* Guards against a worker that is flooded or kept cold by a bad header, and
 * against callers that get the header. */
Test(worker_wire, cold)
{
    for (size_t i = 0; i < sizeof(cold_cases) / sizeof(*cold_cases); i++) {
        const cold_case_t *item = &cold_cases[i];
        pps_http_reply_t reply = {.status = item->status};
        pps_worker_reply_t decoded;
        pps_buf_t forwarded = PPS_BUF_INIT;

        if (item->value != NULL) {
            add_header(&reply, "X-Cold-Ms", item->value);
        }
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.cold_us, item->cold_us, "%s", item->what);
        pps_worker_wire_ops.fields(&forwarded, &reply);
        cr_expect_str_eq(pps_buf_text(&forwarded), "");
        pps_buf_clear(&forwarded);
        pps_headers_clear(&reply.headers);
    }
}

typedef struct {
    const char *what;
    const char *value; /* NULL: absent */
    unsigned int figures[4];
    int is_invalid;
} load_case_t;

/* A figure that is not understood must not reach the choice of a worker. */
static const load_case_t loads[] = {
    {"none", NULL, {0}, 0},
    {"three figures", "5,2,16", {5, 2, 16, 100}, 0},
    {"four figures", "5,2,16,140", {5, 2, 16, 140}, 0},
    {"idle", "0,0,0,100", {0, 0, 0, 100}, 0},
    {"blanks", "5, 2, 16, 140", {5, 2, 16, 140}, 0},
    {"largest", "65535,0,16,10000", {65535, 0, 16, 10000}, 0},
    {"two figures", "5,2", {0}, 1},
    {"five figures", "5,2,16,100,1", {0}, 1},
    {"a comma at the end", "5,2,16,", {0}, 1},
    {"four figures and a comma", "5,2,16,100,", {0}, 1},
    {"empty", "", {0}, 1},
    {"an empty figure", "5,,16", {0}, 1},
    {"negative", "-5,2,16", {0}, 1},
    {"negative speed", "5,2,16,-100", {0}, 1},
    {"no speed at all", "5,2,16,0", {0}, 1},
    {"absurd speed", "5,2,16,10001", {0}, 1},
    {"absurd count", "65536,2,16", {0}, 1},
    {"beyond the integers", "99999999999999999999,2,16", {0}, 1},
    {"not a number", "nan,2,16", {0}, 1},
    {"a fraction", "5.5,2,16", {0}, 1},
    {"a unit", "5,2,16,100%", {0}, 1},
};

static size_t
count_commas(const char *text)
{
    size_t count = 0;

    for (; *text != '\0'; text++) {
        count += *text == ',';
    }
    return count;
}

Test(worker_wire, load)
{
    for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
        const load_case_t *item = &loads[i];
        pps_http_reply_t reply = {.status = 200};
        pps_worker_reply_t decoded;

        if (item->value != NULL) {
            add_header(&reply, "X-Server-Load", item->value);
        }
        pps_headers_end(&reply.headers);
        pps_worker_wire_ops.decode(&decoded, &reply);
        cr_expect_eq(decoded.invalid_load, item->is_invalid, "%s", item->what);
        cr_expect_eq(decoded.has_load, item->value && !item->is_invalid, "%s",
                     item->what);
        cr_expect_eq(decoded.running, item->figures[0], "%s", item->what);
        cr_expect_eq(decoded.waiting, item->figures[1], "%s", item->what);
        cr_expect_eq(decoded.slots, item->figures[2], "%s", item->what);
        cr_expect_eq(decoded.speed_percent, item->figures[3], "%s",
                     item->what);
        cr_expect_eq(decoded.has_speed,
                     decoded.has_load && count_commas(item->value) == 3, "%s",
                     item->what);
        pps_headers_clear(&reply.headers);
    }
}
