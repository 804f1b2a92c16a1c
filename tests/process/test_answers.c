/** @file test_answers.c @brief Answers under faults of engines. */
#include "harness_answer.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <string.h>

#define TOKENS 40
#define PROMPT "length=40"

static cluster_t *cluster;

static void
tear_down(void)
{
    cluster_free(cluster);
}

/** A fault of engines and the end of the answers that it must lead to. Two
 * requests are sent at a time, so that a count of two is one for each. */
typedef struct {
    const char *name;
    int engines;
    int faulty; /**< number of engines with the fault */
    const char *faults;
    answer_end_t end;
    const char *run; /**< expected `error.run` */
    int tolerated;   /**< no `worker_refused` event is expected */
} fault_case_t;

#define REFUSE_ALL(kind) "{\"refuse\": \"" kind "\"}"

static const fault_case_t fault_cases[] = {
    {"break", 3, 3, "{\"break_after\": 7, \"count\": 4}", ANSWER_COMPLETE, ""},
    {"break before the first token", 3, 2,
     "{\"break_after\": 0, \"count\": 2}", ANSWER_COMPLETE, ""},
    {"always break before the first token", 2, 2, "{\"break_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"break, single engine", 1, 1, "{\"break_after\": 7, \"count\": 4}",
     ANSWER_COMPLETE, ""},
    {"silent", 3, 3, "{\"silent_after\": 7, \"count\": 2}", ANSWER_COMPLETE,
     ""},
    {"silent, single engine", 1, 1, "{\"silent_after\": 7, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"silent before the first token", 3, 2,
     "{\"silent_after\": 0, \"count\": 2}", ANSWER_COMPLETE, ""},
    {"always silent before the first token", 2, 2, "{\"silent_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"foreign id", 3, 3, "{\"foreign_id\": true, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"out of order", 2, 2, "{\"out_of_order\": true}", ANSWER_COMPLETE, "", 1},
    {"truncated", 3, 3, "{\"truncate_without_done\": true, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"always truncated", 2, 2, "{\"truncate_without_done\": true}",
     ANSWER_ERROR, "yes"},
    {"first token delayed", 2, 2, "{\"delay_first_ms\": 700}", ANSWER_COMPLETE,
     ""},
    {"one engine draining", 2, 1, REFUSE_ALL("draining"), ANSWER_COMPLETE, ""},
    {"one engine full", 2, 1, REFUSE_ALL("full"), ANSWER_COMPLETE, ""},
    {"one engine without the version", 2, 1, REFUSE_ALL("version_not_loaded"),
     ANSWER_COMPLETE, ""},
    {"one engine broken", 2, 1, REFUSE_ALL("broken"), ANSWER_COMPLETE, ""},
    {"all engines draining", 2, 2, REFUSE_ALL("draining"), ANSWER_ERROR, "no"},
    {"all engines full", 2, 2, REFUSE_ALL("full"), ANSWER_ERROR, "no"},
    {"all engines without the version", 2, 2, REFUSE_ALL("version_not_loaded"),
     ANSWER_ERROR, "no"},
    {"all engines broken", 2, 2, REFUSE_ALL("broken"), ANSWER_ERROR, "no"},
};

#define FAULT_CASES (sizeof(fault_cases) / sizeof(fault_cases[0]))

/* Returns the engine that requests with the reference's prompt try first. */
static int
first_engine(void)
{
    char state[ANSWER_NAME_MAX];

    for (int i = 0; i < cluster->options.engines; i++) {
        answer_engine_state(cluster, i, "reference", state, NULL);
        if (strcmp(state, "done") == 0) {
            return i;
        }
    }
    cr_assert_fail("no engine has completed the request 'reference'");
    return 0;
}

static void
set_engine_faults(int engine_count, const char *faults)
{
    int first = first_engine();

    for (int i = 0; i < engine_count; i++) {
        int engine = (first + i) % cluster->options.engines;

        cr_assert_eq(cluster_set_faults(cluster->engines[engine], faults),
                     200);
    }
}

/* Proves that the fault reached the router. */
static void
expect_worker_refused(int router, const fault_case_t *fault)
{
    json_t *events = cluster_events(cluster, router, "worker_refused");

    cr_expect_eq(json_array_size(events) > 0, !fault->tolerated,
                 "%s: %zu worker_refused events", fault->name,
                 json_array_size(events));
    json_decref(events);
}

/* A back-off applies to one host. The plain and the streamed chat use a router
 * each, so that neither skips an engine because of the other. */
static void
start_chat(answer_call_t *call, int stream)
{
    *call = (answer_call_t){.cluster = cluster,
                            .chat = {.router = stream,
                                     .stream = stream,
                                     .request_id = stream ? "s" : "w",
                                     .prompt = PROMPT,
                                     .max_tokens = TOKENS}};
    answer_start(call);
}

static void
finish_chat(answer_call_t *call, const fault_case_t *fault,
            const answer_call_t *reference)
{
    const char *mode = call->chat.stream ? "streamed" : "plain";
    const answer_result_t *result = &call->result;

    answer_join(call);
    cr_expect_eq(result->end, fault->end, "%s, %s: %d %s", fault->name, mode,
                 (int)result->end, result->code);
    cr_expect_str_eq(result->run, fault->run, "%s, %s", fault->name, mode);
    expect_worker_refused(call->chat.router, fault);
    if (strcmp(fault->run, "no") != 0) {
        answer_expect_match(call, reference, fault->name);
    }
    answer_clear(call);
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
    answer_call_t streamed;
    answer_call_t plain;

    cluster = answer_cluster_new(fault->engines, "2000");
    answer_call_reference(&reference, cluster, PROMPT, TOKENS);
    set_engine_faults(fault->faulty, fault->faults);
    start_chat(&plain, 0);
    start_chat(&streamed, 1);
    finish_chat(&plain, fault, &reference);
    finish_chat(&streamed, fault, &reference);
    answer_expect_bills(cluster, fault->end == ANSWER_COMPLETE ? 3 : 1,
                        fault->name);
    answer_clear(&reference);
}
