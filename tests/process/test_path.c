/** @file test_path.c @brief Tests requests to a system without faults. */
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

Test(path, a_chat_is_completed_and_billed_once)
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

Test(path, a_high_target_gets_the_better_version)
{
    harness_reply_t reply;
    char *version;

    cluster_chat(&reply, cluster, &(cluster_chat_t){.key = "ministry-key"});
    version = cluster_header(&reply, "X-Model-Version");
    cr_expect_str_eq(version, "drafting/large-1");
    free(version);
    harness_reply_clear(&reply);
}

Test(path, a_stream_ends_with_usage_and_done)
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

Test(path, an_idempotent_call_is_run_once_and_replayed)
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

/** A bad request and the expected error. */
typedef struct {
    const char *name;
    const char *method;
    const char *path;
    const char *headers[3];
    const char *body;
    int status;
    const char *code;
} bad_request_t;

#define OFFICE_AUTHORIZATION "Authorization: Bearer office-key"
#define CHAT_PATH "/v1/chat/completions"

static const bad_request_t bad_requests[] = {
    {"no key", "POST", CHAT_PATH, {NULL}, "{}", 401, "unauthorized"},
    {"unknown key",
     "POST",
     CHAT_PATH,
     {"Authorization: Bearer x"},
     "{}",
     401,
     "unauthorized"},
    {"invalid JSON",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION},
     "{\"model\":",
     400,
     "invalid_request"},
    {"no messages",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION},
     "{\"model\":\"drafting\"}",
     400,
     "invalid_request"},
    {"max_tokens 0",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION},
     "{\"model\":\"drafting\",\"max_tokens\":0,\"messages\":[{\"role\":"
     "\"user\",\"content\":\"x\"}]}",
     400,
     "invalid_request"},
    {"unknown model",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION},
     "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":"
     "\"x\"}]}",
     404,
     "model_not_found"},
    {"bad request id",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION, "X-Request-Id: a b"},
     "{}",
     400,
     "invalid_request"},
    {"bad deadline",
     "POST",
     CHAT_PATH,
     {OFFICE_AUTHORIZATION, "X-Deadline-Ms: soon"},
     "{}",
     400,
     "invalid_request"},
    {"unknown service",
     "GET",
     "/v1/services/none/x",
     {OFFICE_AUTHORIZATION},
     NULL,
     404,
     "not_found"},
    {"call without key",
     "POST",
     "/v1/services/registry/x",
     {OFFICE_AUTHORIZATION},
     "{}",
     400,
     "invalid_request"},
    {"unknown outcome",
     "GET",
     "/v1/outcomes/none",
     {OFFICE_AUTHORIZATION},
     NULL,
     404,
     "not_found"},
};

Test(path, bad_requests_are_rejected_and_not_run)
{
    for (size_t i = 0; i < sizeof(bad_requests) / sizeof(bad_requests[0]);
         i++) {
        harness_call_t call = {.method = bad_requests[i].method,
                               .port = cluster->routers[0]->port,
                               .path = bad_requests[i].path,
                               .body = bad_requests[i].body,
                               .headers = {bad_requests[i].headers[0],
                                           bad_requests[i].headers[1]}};
        harness_reply_t reply;

        harness_call(&reply, &call);
        cr_expect_eq(reply.status, bad_requests[i].status, "%s: %d",
                     bad_requests[i].name, reply.status);
        cr_expect_str_eq(cluster_error_code(&reply), bad_requests[i].code,
                         "%s", bad_requests[i].name);
        cr_expect_str_eq(cluster_error_run(&reply), "no", "%s",
                         bad_requests[i].name);
        harness_reply_clear(&reply);
    }
}
