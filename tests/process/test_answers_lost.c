/** @file test_answers_lost.c @brief Whole answers when an engine or caller is
 * lost. */
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

/** What befalls the engine of an answer in mid-stream. */
typedef struct {
    const char *name;
    int engines;
    int signal;
    int stream;
    answer_end_t end;
} loss_case_t;

static const loss_case_t loss_cases[] = {
    {"killed, streamed", 2, SIGKILL, 1, ANSWER_COMPLETE},
    {"killed, whole", 2, SIGKILL, 0, ANSWER_COMPLETE},
    {"stopped, streamed", 2, SIGSTOP, 1, ANSWER_COMPLETE},
    {"stopped, whole", 2, SIGSTOP, 0, ANSWER_COMPLETE},
    {"killed, alone", 1, SIGKILL, 1, ANSWER_ERROR},
    {"stopped, alone", 1, SIGSTOP, 0, ANSWER_ERROR},
};

#define LOSS_CASES (sizeof(loss_cases) / sizeof(loss_cases[0]))

ParameterizedTestParameters(answers_lost, engines)
{
    static int indices[LOSS_CASES];

    for (size_t i = 0; i < LOSS_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, LOSS_CASES);
}

ParameterizedTest(int *index, answers_lost, engines, .fini = tear_down)
{
    const loss_case_t *loss = &loss_cases[*index];
    answer_call_t reference;
    answer_call_t call;
    int engine;

    cluster = answer_cluster_new(loss->engines, "5000");
    call = (answer_call_t){.cluster = cluster,
                           .chat = {.stream = loss->stream,
                                    .request_id = "r",
                                    .prompt = PROMPT,
                                    .max_tokens = TOKENS}};
    answer_call_reference(&reference, cluster, PROMPT, TOKENS);
    answer_start(&call);
    engine = answer_wait_tokens(cluster, "r", 10);
    cr_assert_geq(engine, 0);
    harness_signal(cluster->engines[engine], loss->signal);
    answer_join(&call);
    cr_expect_eq(call.result.end, loss->end, "%s: %d %s", loss->name,
                 (int)call.result.end, call.result.code);
    answer_expect_match(&call, &reference, loss->name);
    answer_expect_bills(cluster, loss->end == ANSWER_COMPLETE ? 2 : 1,
                        loss->name);
    answer_clear(&call);
    answer_clear(&reference);
}

static int
is_cancelled(cluster_t *at, void *user)
{
    char state[ANSWER_NAME_MAX];

    answer_engine_state(at, 0, user, state, NULL);
    return strcmp(state, "cancelled") == 0;
}

Test(answers_lost, a_caller_that_leaves_is_cancelled_and_billed_once,
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
