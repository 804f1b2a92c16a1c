/** @file test_answers_lost.c @brief Answers whose engine or caller fails. */
#include "harness_answer.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define TOKENS 120
#define PROMPT "length=120"

static cluster_t *cluster;

static void
tear_down(void)
{
    cluster_free(cluster);
}

/** The signal sent to the engine during an answer, and the expected end. */
typedef struct {
    const char *name;
    int engines;
    int signal;
    int stream;
    answer_end_t end;
} engine_failure_case_t;

static const engine_failure_case_t engine_failure_cases[] = {
    {"killed, streamed", 2, SIGKILL, 1, ANSWER_COMPLETE},
    {"killed, plain", 2, SIGKILL, 0, ANSWER_COMPLETE},
    {"stopped, streamed", 2, SIGSTOP, 1, ANSWER_COMPLETE},
    {"stopped, plain", 2, SIGSTOP, 0, ANSWER_COMPLETE},
    {"killed, single engine", 1, SIGKILL, 1, ANSWER_ERROR},
    {"stopped, single engine", 1, SIGSTOP, 0, ANSWER_ERROR},
};

#define ENGINE_FAILURE_CASES                                                  \
    (sizeof(engine_failure_cases) / sizeof(engine_failure_cases[0]))

ParameterizedTestParameters(answers_lost, engines)
{
    static int indices[ENGINE_FAILURE_CASES];

    for (size_t i = 0; i < ENGINE_FAILURE_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, ENGINE_FAILURE_CASES);
}

ParameterizedTest(int *index, answers_lost, engines, .fini = tear_down)
{
    const engine_failure_case_t *failure = &engine_failure_cases[*index];
    answer_call_t reference;
    answer_call_t call;
    int engine;

    cluster = answer_cluster_new(failure->engines, "5000");
    call = (answer_call_t){.cluster = cluster,
                           .chat = {.stream = failure->stream,
                                    .request_id = "r",
                                    .prompt = PROMPT,
                                    .max_tokens = TOKENS}};
    answer_call_reference(&reference, cluster, PROMPT, TOKENS);
    answer_start(&call);
    engine = answer_wait_tokens(cluster, "r", 10);
    cr_assert_geq(engine, 0);
    harness_signal(cluster->engines[engine], failure->signal);
    answer_join(&call);
    cr_expect_eq(call.result.end, failure->end, "%s: %d %s", failure->name,
                 (int)call.result.end, call.result.code);
    answer_expect_match(&call, &reference, failure->name);
    answer_expect_bills(cluster, failure->end == ANSWER_COMPLETE ? 2 : 1,
                        failure->name);
    answer_clear(&call);
    answer_clear(&reference);
}

/* The engine is stopped before it reads the request, and may run it once it
 * continues: the caller must not be told that the request was not run. */
Test(answers_lost, a_request_that_no_engine_answered_may_have_run,
     .fini = tear_down)
{
    answer_call_t reference;
    answer_call_t call;

    cluster = answer_cluster_new(1, "1000");
    call = (answer_call_t){
        .cluster = cluster,
        .chat = {.request_id = "r", .prompt = PROMPT, .max_tokens = TOKENS}};
    answer_call_reference(&reference, cluster, PROMPT, TOKENS);
    harness_signal(cluster->engines[0], SIGSTOP);
    answer_call(&call);
    harness_signal(cluster->engines[0], SIGCONT);
    cr_expect_eq(call.result.end, ANSWER_ERROR);
    cr_expect_str_eq(call.result.run, "unknown");
    cr_expect_str_eq(call.result.code, "outcome_unknown");
    answer_expect_bills(cluster, 1, "unanswered");
    answer_clear(&call);
    answer_clear(&reference);
}

static int
is_cancelled(cluster_t *system, void *user)
{
    char state[ANSWER_NAME_MAX];

    answer_engine_state(system, 0, user, state, NULL);
    return strcmp(state, "cancelled") == 0;
}

Test(answers_lost, a_disconnected_caller_is_cancelled_and_billed_once,
     .fini = tear_down)
{
    char id[] = "left";
    answer_call_t call = {.cluster = cluster,
                          .chat = {.stream = 1,
                                   .request_id = id,
                                   .prompt = PROMPT,
                                   .max_tokens = TOKENS,
                                   .abort_after_bytes = 1000}};
    char state[ANSWER_NAME_MAX];
    json_int_t tokens;
    pps_bill_sum_t sum;

    cluster = answer_cluster_new(1, "5000");
    call.cluster = cluster;
    answer_call(&call);
    cr_assert_eq(call.result.end, ANSWER_INCOMPLETE);
    cr_assert(cluster_wait(cluster, is_cancelled, id));
    answer_engine_state(cluster, 0, id, state, &tokens);
    cr_expect_lt(tokens, TOKENS);
    answer_expect_bills(cluster, 1, id);
    cr_assert_eq(cluster_bill_sum(cluster, "office", &sum), 0);
    cr_expect_geq(sum.generated_tokens, 1);
    cr_expect_leq((json_int_t)sum.generated_tokens, tokens);
    answer_clear(&call);
}
