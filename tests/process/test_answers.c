/** @file test_answers.c @brief Whole answers, own answers, under failure. */
#include "harness_answer.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define TOKENS 40
#define PROMPT "length=40"
#define LONG_TOKENS 120
#define LONG_PROMPT "length=120"
#define SETTINGS                                                              \
    "[limits]\nsilence_timeout_ms = 300\nanswer_timeout_ms = 8000\n"

static cluster_t *cluster;

static void
start(int engines, const char *token_us)
{
    const cluster_options_t options = {.routers = 2,
                                       .engines = engines,
                                       .services = 1,
                                       .token_us = token_us,
                                       .router_settings = SETTINGS};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

/** Faults of an engine, and how answers must end under them. */
typedef struct {
    const char *name;
    int engines;
    int faulty; /**< engines that have the fault */
    const char *faults;
    answer_end_t end;
    const char *run; /**< of the error */
    int borne;       /**< no worker is given up for it */
} fault_case_t;

#define REFUSE(kind) "{\"refuse\": \"" kind "\", \"count\": 1}"
#define REFUSE_ALL(kind) "{\"refuse\": \"" kind "\"}"

static const fault_case_t fault_cases[] = {
    {"break", 3, 3, "{\"break_after\": 7, \"count\": 2}", ANSWER_WHOLE, ""},
    {"break before the first token", 3, 2,
     "{\"break_after\": 0, \"count\": 1}", ANSWER_WHOLE, ""},
    {"break always before the first token", 2, 2, "{\"break_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"break, alone", 1, 1, "{\"break_after\": 7, \"count\": 2}", ANSWER_WHOLE,
     ""},
    {"silent", 3, 3, "{\"silent_after\": 7, \"count\": 1}", ANSWER_WHOLE, ""},
    {"silent, alone", 1, 1, "{\"silent_after\": 7, \"count\": 1}",
     ANSWER_WHOLE, ""},
    {"silent from the first", 3, 2, "{\"silent_after\": 0, \"count\": 1}",
     ANSWER_WHOLE, ""},
    {"silent always from the first", 2, 2, "{\"silent_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"foreign id", 3, 3, "{\"foreign_id\": true, \"count\": 2}", ANSWER_WHOLE,
     ""},
    {"out of order", 2, 2, "{\"out_of_order\": true}", ANSWER_WHOLE, "", 1},
    {"truncated", 3, 3, "{\"truncate_without_done\": true, \"count\": 1}",
     ANSWER_WHOLE, ""},
    {"truncated always", 2, 2, "{\"truncate_without_done\": true}",
     ANSWER_ERROR, "yes"},
    {"first token late", 2, 2, "{\"delay_first_ms\": 700}", ANSWER_WHOLE, ""},
    {"one draining", 2, 1, REFUSE_ALL("draining"), ANSWER_WHOLE, ""},
    {"one full", 2, 1, REFUSE_ALL("full"), ANSWER_WHOLE, ""},
    {"one not loaded", 2, 1, REFUSE_ALL("version_not_loaded"), ANSWER_WHOLE,
     ""},
    {"one broken", 2, 1, REFUSE_ALL("broken"), ANSWER_WHOLE, ""},
    {"all draining", 2, 2, REFUSE_ALL("draining"), ANSWER_ERROR, "no"},
    {"all full", 2, 2, REFUSE_ALL("full"), ANSWER_ERROR, "no"},
    {"all not loaded", 2, 2, REFUSE_ALL("version_not_loaded"), ANSWER_ERROR,
     "no"},
    {"all broken", 2, 2, REFUSE_ALL("broken"), ANSWER_ERROR, "no"},
};

#define FAULT_CASES (sizeof(fault_cases) / sizeof(fault_cases[0]))

/* An undisturbed answer, to compare others with. */
static void
ask_reference(answer_call_t *reference, const char *prompt, int tokens)
{
    *reference = (answer_call_t){.cluster = cluster,
                                 .chat = {.request_id = "reference",
                                          .prompt = prompt,
                                          .max_tokens = tokens}};
    answer_call(reference);
    cr_assert_eq(reference->result.end, ANSWER_WHOLE);
    cr_assert_gt(reference->result.text.size, 0);
}

static void
expect_same(const answer_call_t *call, const answer_call_t *reference,
            const char *name)
{
    const answer_result_t *result = &call->result;

    cr_expect_eq(result->foreign, 0, "%s", name);
    cr_expect_str_eq(result->version, reference->result.version, "%s", name);
    if (result->end == ANSWER_WHOLE) {
        cr_expect_str_eq(pps_buf_text(&result->text),
                         pps_buf_text(&reference->result.text), "%s", name);
    }
}

/* The engine that requests with the reference's prompt are sent to first. */
static int
first_engine(void)
{
    char state[ANSWER_NAME_MAX];

    for (int i = 0; i < cluster->options.engines; i++) {
        answer_outcome(cluster, i, "reference", state, NULL);
        if (strcmp(state, "done") == 0) {
            return i;
        }
    }
    cr_assert_fail("no engine has answered the reference");
    return 0;
}

static void
fault_engines(int engines, const char *faults)
{
    int first = first_engine();

    for (int i = 0; i < engines; i++) {
        int engine = (first + i) % cluster->options.engines;

        cr_assert_eq(cluster_fault(cluster->engines[engine], faults), 200);
    }
}

/* The fault was met, not by-passed. */
static void
expect_given_up(int router, const fault_case_t *fault)
{
    json_t *events = cluster_events(cluster, router, "worker_refused");

    cr_expect_eq(json_array_size(events) > 0, !fault->borne,
                 "%s: %zu given up", fault->name, json_array_size(events));
    json_decref(events);
}

/* Whole answers are billed once each, others not at all. */
static void
expect_bills(uint64_t wanted, const char *name)
{
    pps_bill_reading_t bills;

    cr_expect(cluster_wait_bills(cluster, (json_int_t)wanted), "%s", name);
    cr_assert_eq(cluster_bills(cluster, &bills), 0);
    cr_expect_eq(bills.bills, wanted, "%s: %d bills", name, (int)bills.bills);
    cr_expect_eq(bills.repeated_request, 0, "%s", name);
}

static void
run_case(const fault_case_t *fault, int stream, const answer_call_t *reference)
{
    /* Back-offs are a host's own: each way has a router of its own. */
    answer_call_t call = {.cluster = cluster,
                          .chat = {.router = stream,
                                   .stream = stream,
                                   .request_id = stream ? "s" : "w",
                                   .prompt = PROMPT,
                                   .max_tokens = TOKENS}};
    const char *way = stream ? "streamed" : "whole";

    fault_engines(fault->faulty, fault->faults);
    answer_call(&call);
    fault_engines(fault->faulty, "{\"reset\": true}");
    cr_expect_eq(call.result.end, fault->end, "%s, %s: %d %s", fault->name,
                 way, (int)call.result.end, call.result.code);
    expect_given_up(stream, fault);
    cr_expect_str_eq(call.result.run, fault->run, "%s, %s", fault->name, way);
    if (strcmp(fault->run, "no") != 0) {
        expect_same(&call, reference, fault->name);
    }
    answer_clear(&call);
}

ParameterizedTestParameters(answers, faults)
{
    static int indices[FAULT_CASES];

    for (size_t i = 0; i < FAULT_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, FAULT_CASES);
}

ParameterizedTest(int *index, answers, faults, .fini = tear_down)
{
    const fault_case_t *fault = &fault_cases[*index];
    answer_call_t reference;

    start(fault->engines, "2000");
    ask_reference(&reference, PROMPT, TOKENS);
    run_case(fault, 0, &reference);
    run_case(fault, 1, &reference);
    expect_bills(fault->end == ANSWER_WHOLE ? 3 : 1, fault->name);
    answer_clear(&reference);
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
    {"killed, streamed", 2, SIGKILL, 1, ANSWER_WHOLE},
    {"killed, whole", 2, SIGKILL, 0, ANSWER_WHOLE},
    {"stopped, streamed", 2, SIGSTOP, 1, ANSWER_WHOLE},
    {"stopped, whole", 2, SIGSTOP, 0, ANSWER_WHOLE},
    {"killed, alone", 1, SIGKILL, 1, ANSWER_ERROR},
    {"stopped, alone", 1, SIGSTOP, 0, ANSWER_ERROR},
};

#define LOSS_CASES (sizeof(loss_cases) / sizeof(loss_cases[0]))

ParameterizedTestParameters(answers, losses)
{
    static int indices[LOSS_CASES];

    for (size_t i = 0; i < LOSS_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, LOSS_CASES);
}

ParameterizedTest(int *index, answers, losses, .fini = tear_down)
{
    const loss_case_t *loss = &loss_cases[*index];
    answer_call_t reference;
    answer_call_t call;
    int engine;

    start(loss->engines, "5000");
    call = (answer_call_t){.cluster = cluster,
                           .chat = {.stream = loss->stream,
                                    .request_id = "r",
                                    .prompt = LONG_PROMPT,
                                    .max_tokens = LONG_TOKENS}};
    ask_reference(&reference, LONG_PROMPT, LONG_TOKENS);
    answer_start(&call);
    engine = answer_wait_tokens(cluster, "r", 10);
    cr_assert_geq(engine, 0);
    harness_signal(cluster->engines[engine], loss->signal);
    answer_join(&call);
    cr_expect_eq(call.result.end, loss->end, "%s: %d %s", loss->name,
                 (int)call.result.end, call.result.code);
    expect_same(&call, &reference, loss->name);
    expect_bills(loss->end == ANSWER_WHOLE ? 2 : 1, loss->name);
    answer_clear(&call);
    answer_clear(&reference);
}

static int
is_cancelled(cluster_t *at, void *user)
{
    char state[ANSWER_NAME_MAX];

    answer_outcome(at, 0, user, state, NULL);
    return strcmp(state, "cancelled") == 0;
}

Test(answers, a_caller_that_leaves_is_cancelled_and_billed_once,
     .fini = tear_down)
{
    char id[] = "left";
    answer_call_t call = {.cluster = cluster,
                          .chat = {.stream = 1,
                                   .request_id = id,
                                   .prompt = LONG_PROMPT,
                                   .max_tokens = LONG_TOKENS,
                                   .leave_bytes = 1000}};
    char state[ANSWER_NAME_MAX];
    json_int_t tokens;
    pps_bill_sum_t sum;

    start(1, "5000");
    call.cluster = cluster;
    answer_call(&call);
    cr_assert_eq(call.result.end, ANSWER_CUT);
    cr_assert(cluster_wait(cluster, is_cancelled, id));
    answer_outcome(cluster, 0, id, state, &tokens);
    cr_expect_lt(tokens, LONG_TOKENS);
    expect_bills(1, id);
    cr_assert_eq(cluster_bill_sum(cluster, "office", &sum), 0);
    cr_expect_geq(sum.generated_tokens, 1);
    cr_expect_leq((json_int_t)sum.generated_tokens, tokens);
    answer_clear(&call);
}
