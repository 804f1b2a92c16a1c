/** @file test_path.c @brief The whole path without faults. */
#include "harness_cluster.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = 3};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(path, .init = set_up, .fini = tear_down);

Test(path, a_chat_is_answered_whole_and_billed_once)
{
    harness_reply_t reply;
    pps_bill_reader_stats_t bills;
    char *version;

    cluster_chat(&reply, cluster, &(cluster_chat_t){.request_id = "r1"});
    cr_assert_eq(reply.status, 200, "%s", pps_buf_text(&reply.text));
    version = cluster_header(&reply, "X-Model-Version");
    cr_expect_str_eq(version, "drafting/small-1");
    free(version);
    harness_reply_clear(&reply);
    cr_assert(cluster_wait_bills(cluster, 1));
    cr_assert_eq(cluster_bills(cluster, &bills), 0);
    cr_expect_eq(bills.bills, 1);
}

Test(path, a_target_that_only_the_better_version_meets_gets_it)
{
    harness_reply_t reply;
    char *version;

    cluster_chat(&reply, cluster, &(cluster_chat_t){.key = "ministry-key"});
    version = cluster_header(&reply, "X-Model-Version");
    cr_expect_str_eq(version, "drafting/large-1");
    free(version);
    harness_reply_clear(&reply);
}

Test(path, a_stream_ends_with_its_usage_and_its_end_mark)
{
    harness_reply_t reply;
    const char *text;

    cluster_chat(&reply, cluster,
                 &(cluster_chat_t){.stream = 1, .max_tokens = 5});
    text = pps_buf_text(&reply.text);
    cr_expect_eq(reply.status, 200);
    cr_expect_not_null(strstr(text, "\"completion_tokens\":5"));
    cr_expect_not_null(strstr(text, "data: [DONE]"));
    harness_reply_clear(&reply);
}

Test(path, an_act_is_run_once_and_replayed)
{
    harness_reply_t reply;

    cluster_release(&reply, cluster, 0, "k1", "{\"table\":1}");
    cr_expect_eq(reply.status, 200);
    harness_reply_clear(&reply);
    do {
        cluster_release(&reply, cluster, 1, "k1", "{\"table\":1}");
        if (strcmp(cluster_error_code(&reply), "in_progress") != 0) {
            break;
        }
        harness_reply_clear(&reply);
    } while (1);
    cr_expect_eq(reply.status, 200);
    cr_expect_eq(harness_reply_int(&reply, "run"), 1);
    harness_reply_clear(&reply);
    cluster_release(&reply, cluster, 2, "k1", "{\"table\":2}");
    cr_expect_str_eq(cluster_error_code(&reply), "idempotency_key_mismatch");
    cr_expect_str_eq(cluster_error_run(&reply), "no");
    harness_reply_clear(&reply);
    cr_expect_eq(cluster_run_count(cluster, "k1"), 1);
}

/** A bad request and the error that it must get. */
typedef struct {
    const char *name;
    const char *method;
    const char *path;
    const char *headers[3];
    const char *body;
    int status;
    const char *code;
} bad_t;

#define OFFICE "Authorization: Bearer office-key"
#define CHAT "/v1/chat/completions"

static const bad_t bad[] = {
    {"no key", "POST", CHAT, {NULL}, "{}", 401, "unauthorized"},
    {"unknown key",
     "POST",
     CHAT,
     {"Authorization: Bearer x"},
     "{}",
     401,
     "unauthorized"},
    {"no JSON", "POST", CHAT, {OFFICE}, "{\"model\":", 400, "invalid_request"},
    {"no messages",
     "POST",
     CHAT,
     {OFFICE},
     "{\"model\":\"drafting\"}",
     400,
     "invalid_request"},
    {"max_tokens 0",
     "POST",
     CHAT,
     {OFFICE},
     "{\"model\":\"drafting\",\"max_tokens\":0,\"messages\":[{\"role\":"
     "\"user\",\"content\":\"x\"}]}",
     400,
     "invalid_request"},
    {"unknown model",
     "POST",
     CHAT,
     {OFFICE},
     "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":"
     "\"x\"}]}",
     404,
     "model_not_found"},
    {"bad request id",
     "POST",
     CHAT,
     {OFFICE, "X-Request-Id: a b"},
     "{}",
     400,
     "invalid_request"},
    {"bad deadline",
     "POST",
     CHAT,
     {OFFICE, "X-Deadline-Ms: soon"},
     "{}",
     400,
     "invalid_request"},
    {"unknown service",
     "GET",
     "/v1/services/none/x",
     {OFFICE},
     NULL,
     404,
     "not_found"},
    {"act without key",
     "POST",
     "/v1/services/registry/x",
     {OFFICE},
     "{}",
     400,
     "invalid_request"},
    {"unknown outcome",
     "GET",
     "/v1/outcomes/none",
     {OFFICE},
     NULL,
     404,
     "not_found"},
};

Test(path, bad_requests_get_a_clear_error_and_are_not_run)
{
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        harness_call_t call = {
            .method = bad[i].method,
            .port = cluster->routers[0]->port,
            .path = bad[i].path,
            .body = bad[i].body,
            .headers = {bad[i].headers[0], bad[i].headers[1]}};
        harness_reply_t reply;

        harness_call(&reply, &call);
        cr_expect_eq(reply.status, bad[i].status, "%s: %d", bad[i].name,
                     reply.status);
        cr_expect_str_eq(cluster_error_code(&reply), bad[i].code, "%s",
                         bad[i].name);
        cr_expect_str_eq(cluster_error_run(&reply), "no", "%s", bad[i].name);
        harness_reply_clear(&reply);
    }
}
