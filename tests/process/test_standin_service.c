/** @file test_standin_service.c @brief Tests the service stand-in. */
#include "harness.h"
#include "harness_http.h"
#include "harness_standin.h"

#include <criterion/criterion.h>

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

TestSuite(standin_service, .init = set_up, .fini = tear_down);

Test(standin_service, call_with_a_lost_answer_has_run)
{
    int port = harness_start_standin(harness, "standin-service", NULL, NULL);
    const harness_call_t call = {.method = "POST",
                                 .port = port,
                                 .path = "/call/releases",
                                 .body = "{}",
                                 .headers = {"X-Request-Key: k1"}};
    harness_reply_t reply;

    harness_set_faults(port, "{\"lose_answer\":1}");
    harness_call(&reply, &call);
    cr_expect_eq(reply.status, 0);
    harness_reply_clear(&reply);
    harness_json(&reply, "GET", port, "/outcome/k1", NULL);
    cr_expect_str_eq(harness_reply_text(&reply, "state"), "done");
    harness_reply_clear(&reply);
    harness_call(&reply, &call);
    cr_expect_eq(harness_reply_int(&reply, "run"), 2);
    harness_reply_clear(&reply);
}

Test(standin_service, service_refuses_a_stale_fencing_number)
{
    int port = harness_start_standin(harness, "standin-service",
                                     "--checks-fencing", NULL);
    harness_call_t call = {.method = "POST",
                           .port = port,
                           .path = "/call/releases",
                           .headers = {"X-Request-Key: k1", "X-Fencing: 7"}};
    harness_reply_t reply;

    harness_call(&reply, &call);
    cr_expect_eq(reply.status, 200);
    harness_reply_clear(&reply);
    call.headers[1] = "X-Fencing: 6";
    harness_call(&reply, &call);
    cr_expect_eq(reply.status, 409);
    cr_expect_str_eq(harness_reply_text(&reply, "error"), "stale_fencing");
    harness_reply_clear(&reply);
    harness_json(&reply, "GET", port, "/outcome/k1", NULL);
    cr_expect_eq(harness_reply_int(&reply, "runs"), 1);
    harness_reply_clear(&reply);
}
