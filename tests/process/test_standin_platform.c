/** @file test_standin_platform.c @brief Tests the platform stand-in. */
#include "harness.h"
#include "harness_http.h"
#include "harness_standin.h"

#include <criterion/criterion.h>
#include <string.h>

static harness_t *harness;

static void
set_up(void)
{
    cr_assert_eq(harness_new(&harness), 0);
}

static void
tear_down(void)
{
    harness_free(harness);
    harness = NULL;
}

TestSuite(standin_platform, .init = set_up, .fini = tear_down);

static int
append(int port, const char *base64)
{
    return harness_status("POST", port, "/log/work/append",
                          json_pack("{s:[s]}", "records", base64));
}

Test(standin_platform, append_is_read_back_at_its_offset)
{
    int port = harness_start_standin(harness, "standin-platform", NULL, NULL);
    harness_reply_t reply;
    const json_t *record;

    harness_json(&reply, "POST", port, "/log/config/append",
                 json_pack("{s:[ss]}", "records", "aGVsbG8=", "eA=="));
    cr_assert_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "offset"), 0);
    cr_expect_eq(harness_reply_int(&reply, "count"), 2);
    harness_reply_clear(&reply);
    harness_json(&reply, "GET", port, "/log/config?from=1&limit=5", NULL);
    cr_assert_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "first"), 0);
    cr_expect_eq(harness_reply_int(&reply, "head"), 2);
    record = json_array_get(json_object_get(reply.json, "records"), 0);
    cr_expect_eq(json_integer_value(json_object_get(record, "offset")), 1);
    cr_expect_str_eq(json_string_value(json_object_get(record, "data")),
                     "eA==");
    harness_reply_clear(&reply);
    cr_expect_eq(append(port, "no base64!"), 400);
}

Test(standin_platform, unknown_stream_is_empty)
{
    int port = harness_start_standin(harness, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    harness_json(&reply, "GET", port, "/log/none?from=0&wait_ms=50", NULL);
    cr_assert_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "head"), 0);
    harness_reply_clear(&reply);
}

Test(standin_platform, retention_drops_the_oldest)
{
    int port = harness_start_standin(harness, "standin-platform",
                                     "--retain-records", "3");
    harness_reply_t reply;

    for (int i = 0; i < 5; i++) {
        cr_assert_eq(append(port, "eA=="), 200);
    }
    harness_json(&reply, "GET", port, "/log/work?from=1", NULL);
    cr_expect_eq(reply.status, 410);
    cr_expect_eq(harness_reply_int(&reply, "first"), 2);
    cr_expect_eq(harness_reply_int(&reply, "head"), 5);
    harness_reply_clear(&reply);
    harness_set_faults(port, "{\"retain\": 1}");
    cr_expect_eq(harness_status("GET", port, "/log/work?from=3", NULL), 410);
    cr_expect_eq(harness_status("GET", port, "/log/work?from=4", NULL), 200);
}

Test(standin_platform, record_is_kept_when_its_ack_is_lost)
{
    int port = harness_start_standin(harness, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    harness_set_faults(port, "{\"drop_acks\": 2}");
    cr_expect_eq(append(port, "eA=="), 0);
    cr_expect_eq(append(port, "eA=="), 500);
    cr_expect_eq(append(port, "eA=="), 200);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(harness_reply_int(&reply, "head"), 3);
    harness_reply_clear(&reply);
}

Test(standin_platform, log_outage_writes_nothing)
{
    int port = harness_start_standin(harness, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    harness_set_faults(port, "{\"log\": \"down\"}");
    cr_expect_eq(append(port, "eA=="), 503);
    cr_expect_eq(harness_status("GET", port, "/log/work?from=0", NULL), 503);
    harness_set_faults(port, "{\"log\": \"up\"}");
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "head"), 0);
    harness_reply_clear(&reply);
}

Test(standin_platform, appends_above_the_rate_are_refused)
{
    int port = harness_start_standin(harness, "standin-platform",
                                     "--appends-per-second", "1");
    harness_reply_t reply;

    cr_expect_eq(append(port, "eA=="), 200);
    cr_expect_eq(append(port, "eA=="), 429);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(harness_reply_int(&reply, "head"), 1);
    harness_reply_clear(&reply);
}

Test(standin_platform, corrupt_record_differs)
{
    int port = harness_start_standin(harness, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    harness_set_faults(port, "{\"corrupt_next\": 1}");
    cr_expect_eq(append(port, "aGVsbG8="), 200);
    cr_expect_eq(append(port, "aGVsbG8="), 200);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_null(strstr(pps_buf_text(&reply.text),
                          "\"data\":\"aGVsbG8=\"},{\"offset\":1"));
    cr_expect_not_null(
        strstr(pps_buf_text(&reply.text), "\"data\":\"aGVsbG8=\"}]"));
    harness_reply_clear(&reply);
}

Test(standin_platform, host_list_is_delayed)
{
    int port = harness_start_standin(harness, "standin-platform",
                                     "--hosts-lag-ms", "1500");
    harness_reply_t reply;

    cr_assert_eq(
        harness_status("PUT", port, "/hosts",
                       json_pack("{s:[s],s:[]}", "entries", "e1", "workers")),
        200);
    harness_json(&reply, "GET", port, "/hosts", NULL);
    cr_expect_eq(json_array_size(json_object_get(reply.json, "entries")), 0);
    harness_reply_clear(&reply);
    harness_set_faults(port, "{\"hosts_lag_ms\": 0}");
    harness_json(&reply, "GET", port, "/hosts", NULL);
    cr_expect_eq(json_array_size(json_object_get(reply.json, "entries")), 1);
    harness_reply_clear(&reply);
}
