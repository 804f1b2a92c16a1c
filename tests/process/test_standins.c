/** @file test_standins.c @brief The stand-ins keep what they promise. */
#include "harness.h"
#include "harness_http.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "drafting/small-1"

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

TestSuite(standins, .init = set_up, .fini = tear_down);

static int
start(harness_process_t **out, const char *program, const char *option,
      const char *value)
{
    const char *const args[] = {option, value, NULL};
    int port = harness_serve(harness, out, program, args);

    cr_assert_gt(port, 0, "%s does not serve", program);
    return port;
}

static void
put_faults(int port, const char *faults)
{
    json_t *body = json_loads(faults, 0, NULL);

    cr_assert_eq(harness_status("PUT", port, "/faults", body), 200, "%s",
                 faults);
}

static int
append(int port, const char *base64)
{
    return harness_status("POST", port, "/log/work/append",
                          json_pack("{s:[s]}", "records", base64));
}

static json_t *
generate_body(const char *id, int resume_from, int stream)
{
    return json_pack("{s:s,s:s,s:s,s:i,s:i,s:b}", "request_id", id, "version",
                     VERSION, "prompt", "Table 7 of the yearbook",
                     "max_tokens", 20, "resume_from", resume_from, "stream",
                     stream);
}

static void
generate(harness_reply_t *reply, int port, const char *id, int resume_from)
{
    harness_json(reply, "POST", port, "/generate",
                 generate_body(id, resume_from, 1));
}

static int
ends_whole(const harness_reply_t *reply)
{
    const char *text = pps_buf_text(&reply->text);

    return !reply->broken && strstr(text, "\"finish\":\"stop\"") != NULL &&
           strstr(text, "data: [DONE]\n\n") != NULL;
}

Test(standins, append_is_read_back_at_its_offset)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", NULL, NULL);
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

Test(standins, unknown_stream_is_empty)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    harness_json(&reply, "GET", port, "/log/none?from=0&wait_ms=50", NULL);
    cr_assert_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "head"), 0);
    harness_reply_clear(&reply);
}

Test(standins, retention_drops_the_oldest)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", "--retain-records", "3");
    harness_reply_t reply;

    for (int i = 0; i < 5; i++) {
        cr_assert_eq(append(port, "eA=="), 200);
    }
    harness_json(&reply, "GET", port, "/log/work?from=1", NULL);
    cr_expect_eq(reply.status, 410);
    cr_expect_eq(harness_reply_int(&reply, "first"), 2);
    cr_expect_eq(harness_reply_int(&reply, "head"), 5);
    harness_reply_clear(&reply);
    put_faults(port, "{\"retain\": 1}");
    cr_expect_eq(harness_status("GET", port, "/log/work?from=3", NULL), 410);
    cr_expect_eq(harness_status("GET", port, "/log/work?from=4", NULL), 200);
}

Test(standins, lost_ack_leaves_the_record)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    put_faults(port, "{\"drop_acks\": 2}");
    cr_expect_eq(append(port, "eA=="), 0);
    cr_expect_eq(append(port, "eA=="), 500);
    cr_expect_eq(append(port, "eA=="), 200);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(harness_reply_int(&reply, "head"), 3);
    harness_reply_clear(&reply);
}

Test(standins, log_outage_writes_nothing)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    put_faults(port, "{\"log\": \"down\"}");
    cr_expect_eq(append(port, "eA=="), 503);
    cr_expect_eq(harness_status("GET", port, "/log/work?from=0", NULL), 503);
    put_faults(port, "{\"log\": \"up\"}");
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "head"), 0);
    harness_reply_clear(&reply);
}

Test(standins, appends_above_the_rate_are_refused)
{
    harness_process_t *platform;
    int port =
        start(&platform, "standin-platform", "--appends-per-second", "1");
    harness_reply_t reply;

    cr_expect_eq(append(port, "eA=="), 200);
    cr_expect_eq(append(port, "eA=="), 429);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_eq(harness_reply_int(&reply, "head"), 1);
    harness_reply_clear(&reply);
}

Test(standins, corrupt_record_differs)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", NULL, NULL);
    harness_reply_t reply;

    put_faults(port, "{\"corrupt_next\": 1}");
    cr_expect_eq(append(port, "aGVsbG8="), 200);
    cr_expect_eq(append(port, "aGVsbG8="), 200);
    harness_json(&reply, "GET", port, "/log/work?from=0", NULL);
    cr_expect_null(strstr(pps_buf_text(&reply.text),
                          "\"data\":\"aGVsbG8=\"},{\"offset\":1"));
    cr_expect_not_null(
        strstr(pps_buf_text(&reply.text), "\"data\":\"aGVsbG8=\"}]"));
    harness_reply_clear(&reply);
}

Test(standins, hosts_are_shown_late)
{
    harness_process_t *platform;
    int port = start(&platform, "standin-platform", "--hosts-lag-ms", "1500");
    harness_reply_t reply;

    cr_assert_eq(
        harness_status("PUT", port, "/hosts",
                       json_pack("{s:[s],s:[]}", "entries", "e1", "workers")),
        200);
    harness_json(&reply, "GET", port, "/hosts", NULL);
    cr_expect_eq(json_array_size(json_object_get(reply.json, "entries")), 0);
    harness_reply_clear(&reply);
    put_faults(port, "{\"hosts_lag_ms\": 0}");
    harness_json(&reply, "GET", port, "/hosts", NULL);
    cr_expect_eq(json_array_size(json_object_get(reply.json, "entries")), 1);
    harness_reply_clear(&reply);
}

Test(standins, resumed_stream_is_the_tail_of_the_whole)
{
    harness_process_t *engine;
    int port = start(&engine, "standin-engine", "--token-us", "500");
    harness_reply_t whole;
    harness_reply_t tail;
    const char *from;

    generate(&whole, port, "r1", 0);
    generate(&tail, port, "r1", 7);
    cr_assert(ends_whole(&whole));
    cr_assert(ends_whole(&tail));
    from = strstr(pps_buf_text(&whole.text),
                  "data: {\"request_id\":\"r1\",\"index\":7,");
    cr_assert_not_null(from);
    cr_expect_str_eq(from, pps_buf_text(&tail.text));
    harness_reply_clear(&whole);
    harness_reply_clear(&tail);
}

typedef struct {
    const char *faults;
    int status;
    const char *code;
} refusal_case_t;

static const refusal_case_t refusals[] = {
    {"{\"refuse\":\"draining\",\"count\":1}", 503, "draining"},
    {"{\"refuse\":\"full\",\"count\":1}", 429, "full"},
    {"{\"refuse\":\"version_not_loaded\",\"count\":1}", 404,
     "version_not_loaded"},
    {"{\"refuse\":\"broken\",\"count\":1}", 500, "broken"},
};

#define REFUSAL_COUNT (sizeof(refusals) / sizeof(refusals[0]))

Test(standins, engine_refuses_without_a_run)
{
    harness_process_t *engine;
    int port = start(&engine, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    for (size_t i = 0; i < REFUSAL_COUNT; i++) {
        put_faults(port, refusals[i].faults);
        generate(&reply, port, "r1", 0);
        cr_expect_eq(reply.status, refusals[i].status, "%s", refusals[i].code);
        cr_expect_str_eq(harness_reply_text(&reply, "error"),
                         refusals[i].code);
        harness_reply_clear(&reply);
    }
    harness_json(&reply, "GET", port, "/runs", NULL);
    cr_expect_eq(json_array_size(json_object_get(reply.json, "runs")), 0);
    harness_reply_clear(&reply);
    generate(&reply, port, "r1", 0);
    cr_expect(ends_whole(&reply));
    harness_reply_clear(&reply);
}

Test(standins, engine_refuses_by_its_own_state)
{
    const char *const args[] = {
        "--slots",    "1",     "--queue",          "0",
        "--token-us", "20000", "--checks-fencing", NULL};
    harness_process_t *engine;
    int port = harness_serve(harness, &engine, "standin-engine", args);
    const harness_call_t leave = {
        .method = "POST",
        .port = port,
        .path = "/generate",
        .body = "{\"request_id\":\"r0\",\"version\":\"" VERSION
                "\",\"prompt\":\"p\",\"stream\":false}",
        .timeout_ms = 60};
    harness_reply_t reply;

    cr_assert_gt(port, 0);
    harness_call(&reply, &leave);
    cr_expect_eq(reply.status, 0);
    harness_reply_clear(&reply);
    cr_expect_eq(harness_status("POST", port, "/orders",
                                json_pack("{s:s,s:i,s:i}", "action", "drain",
                                          "fencing", 5, "revision", 4)),
                 200);
    cr_expect_eq(
        harness_status("POST", port, "/generate", generate_body("r1", 0, 0)),
        503);
    cr_expect_eq(harness_status("POST", port, "/orders",
                                json_pack("{s:s,s:i}", "action", "undrain",
                                          "fencing", 4)),
                 409);
    cr_expect_eq(harness_status("POST", port, "/orders",
                                json_pack("{s:s,s:i}", "action", "undrain",
                                          "fencing", 5)),
                 200);
    cr_expect_eq(
        harness_status("POST", port, "/generate", generate_body("r1", 0, 0)),
        409);
}

typedef struct {
    const char *faults;
    int broken;
} stream_case_t;

static const stream_case_t stream_faults[] = {
    {"{\"reset\":true,\"break_after\":3,\"count\":1}", 1},
    {"{\"reset\":true,\"truncate_without_done\":true,\"count\":1}", 0},
};

#define STREAM_CASE_COUNT (sizeof(stream_faults) / sizeof(stream_faults[0]))

Test(standins, broken_stream_is_never_whole)
{
    harness_process_t *engine;
    int port = start(&engine, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    for (size_t i = 0; i < STREAM_CASE_COUNT; i++) {
        put_faults(port, stream_faults[i].faults);
        generate(&reply, port, "r1", 0);
        cr_expect_eq(reply.broken, stream_faults[i].broken);
        cr_expect_not(ends_whole(&reply));
        cr_expect_gt(reply.text.size, 0);
        harness_reply_clear(&reply);
        generate(&reply, port, "r1", 0);
        cr_expect(ends_whole(&reply), "the fault goes on beyond its count");
        harness_reply_clear(&reply);
    }
}

Test(standins, foreign_event_is_put_in)
{
    harness_process_t *engine;
    int port = start(&engine, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    put_faults(port, "{\"foreign_id\":true}");
    generate(&reply, port, "r1", 0);
    cr_expect(ends_whole(&reply));
    cr_expect_not_null(strstr(pps_buf_text(&reply.text), "foreign-request"));
    harness_reply_clear(&reply);
}

Test(standins, lost_answer_has_run)
{
    harness_process_t *service;
    int port = start(&service, "standin-service", NULL, NULL);
    const harness_call_t act = {.method = "POST",
                                .port = port,
                                .path = "/call/releases",
                                .body = "{}",
                                .headers = {"X-Request-Key: k1"}};
    harness_reply_t reply;

    put_faults(port, "{\"lose_answer\":1}");
    harness_call(&reply, &act);
    cr_expect_eq(reply.status, 0);
    harness_reply_clear(&reply);
    harness_json(&reply, "GET", port, "/outcome/k1", NULL);
    cr_expect_str_eq(harness_reply_text(&reply, "state"), "done");
    harness_reply_clear(&reply);
    harness_call(&reply, &act);
    cr_expect_eq(harness_reply_int(&reply, "run"), 2);
    harness_reply_clear(&reply);
}

Test(standins, service_refuses_a_stale_fencing_number)
{
    harness_process_t *service;
    int port = start(&service, "standin-service", "--checks-fencing", NULL);
    harness_call_t act = {.method = "POST",
                          .port = port,
                          .path = "/call/releases",
                          .headers = {"X-Request-Key: k1", "X-Fencing: 7"}};
    harness_reply_t reply;

    harness_call(&reply, &act);
    cr_expect_eq(reply.status, 200);
    harness_reply_clear(&reply);
    act.headers[1] = "X-Fencing: 6";
    harness_call(&reply, &act);
    cr_expect_eq(reply.status, 409);
    cr_expect_str_eq(harness_reply_text(&reply, "error"), "stale_fencing");
    harness_reply_clear(&reply);
    harness_json(&reply, "GET", port, "/outcome/k1", NULL);
    cr_expect_eq(harness_reply_int(&reply, "runs"), 1);
    harness_reply_clear(&reply);
}

Test(standins, each_ends_in_order)
{
    static const char *const programs[] = {
        "standin-platform", "standin-engine", "standin-service"};

    for (size_t i = 0; i < 3; i++) {
        harness_process_t *process;
        char *text;

        start(&process, programs[i], NULL, NULL);
        cr_assert_eq(harness_signal(process, SIGTERM), 0);
        cr_expect_eq(harness_wait(process, 5000), 0, "%s", programs[i]);
        text = harness_stderr(process);
        cr_expect_str_empty(text);
        free(text);
    }
}
