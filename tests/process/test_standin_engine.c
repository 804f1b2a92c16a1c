/** @file test_standin_engine.c @brief Tests the engine stand-in. */
#include "harness.h"
#include "harness_http.h"
#include "harness_standin.h"

#include <criterion/criterion.h>
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

TestSuite(standin_engine, .init = set_up, .fini = tear_down);

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
is_complete(const harness_reply_t *reply)
{
    const char *text = pps_buf_text(&reply->text);

    return !reply->broken && strstr(text, "\"finish\":\"stop\"") != NULL &&
           strstr(text, "data: [DONE]\n\n") != NULL;
}

Test(standin_engine, resumed_stream_is_the_tail_of_the_complete_stream)
{
    int port =
        harness_start_standin(harness, "standin-engine", "--token-us", "500");
    harness_reply_t complete;
    harness_reply_t tail;
    const char *tail_start;

    generate(&complete, port, "r1", 0);
    generate(&tail, port, "r1", 7);
    cr_assert(is_complete(&complete));
    cr_assert(is_complete(&tail));
    tail_start = strstr(pps_buf_text(&complete.text),
                        "data: {\"request_id\":\"r1\",\"index\":7,");
    cr_assert_not_null(tail_start);
    cr_expect_str_eq(tail_start, pps_buf_text(&tail.text));
    harness_reply_clear(&complete);
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

Test(standin_engine, injected_refusals_start_no_run)
{
    int port =
        harness_start_standin(harness, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    for (size_t i = 0; i < REFUSAL_COUNT; i++) {
        harness_set_faults(port, refusals[i].faults);
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
    cr_expect(is_complete(&reply));
    harness_reply_clear(&reply);
}

Test(standin_engine, engine_refuses_while_draining_or_on_stale_fencing)
{
    const char *const args[] = {
        "--slots",    "1",     "--queue",          "0",
        "--token-us", "20000", "--checks-fencing", NULL};
    harness_process_t *engine;
    int port = harness_start_server(harness, &engine, "standin-engine", args);
    const harness_call_t abandoned = {
        .method = "POST",
        .port = port,
        .path = "/generate",
        .body = "{\"request_id\":\"r0\",\"version\":\"" VERSION
                "\",\"prompt\":\"p\",\"stream\":false}",
        .timeout_ms = 60};
    harness_reply_t reply;

    cr_assert_gt(port, 0);
    harness_call(&reply, &abandoned);
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

Test(standin_engine, broken_stream_is_never_complete)
{
    int port =
        harness_start_standin(harness, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    for (size_t i = 0; i < STREAM_CASE_COUNT; i++) {
        harness_set_faults(port, stream_faults[i].faults);
        generate(&reply, port, "r1", 0);
        cr_expect_eq(reply.broken, stream_faults[i].broken);
        cr_expect_not(is_complete(&reply));
        cr_expect_gt(reply.text.size, 0);
        harness_reply_clear(&reply);
        generate(&reply, port, "r1", 0);
        cr_expect(is_complete(&reply), "the fault is active beyond its count");
        harness_reply_clear(&reply);
    }
}

Test(standin_engine, foreign_event_is_injected)
{
    int port =
        harness_start_standin(harness, "standin-engine", "--token-us", "500");
    harness_reply_t reply;

    harness_set_faults(port, "{\"foreign_id\":true}");
    generate(&reply, port, "r1", 0);
    cr_expect(is_complete(&reply));
    cr_expect_not_null(strstr(pps_buf_text(&reply.text), "foreign-request"));
    harness_reply_clear(&reply);
}
