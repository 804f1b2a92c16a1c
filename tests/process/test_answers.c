/** @file test_answers.c @brief Whole answers, own answers, under failure. */
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

/** Faults of engines, and how answers must end under them; two requests come
 * at once, so that a count of two is one for each. */
typedef struct {
    const char *name;
    int engines;
    int faulty; /**< engines that have the fault */
    const char *faults;
    answer_end_t end;
    const char *run; /**< of the error */
    int borne;       /**< no worker is given up for it */
} fault_case_t;

#define REFUSE_ALL(kind) "{\"refuse\": \"" kind "\"}"

static const fault_case_t fault_cases[] = {
    {"break", 3, 3, "{\"break_after\": 7, \"count\": 4}", ANSWER_COMPLETE, ""},
    {"break before the first token", 3, 2,
     "{\"break_after\": 0, \"count\": 2}", ANSWER_COMPLETE, ""},
    {"break always before the first token", 2, 2, "{\"break_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"break, alone", 1, 1, "{\"break_after\": 7, \"count\": 4}",
     ANSWER_COMPLETE, ""},
    {"silent", 3, 3, "{\"silent_after\": 7, \"count\": 2}", ANSWER_COMPLETE,
     ""},
    {"silent, alone", 1, 1, "{\"silent_after\": 7, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"silent from the first", 3, 2, "{\"silent_after\": 0, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"silent always from the first", 2, 2, "{\"silent_after\": 0}",
     ANSWER_ERROR, "yes"},
    {"foreign id", 3, 3, "{\"foreign_id\": true, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"out of order", 2, 2, "{\"out_of_order\": true}", ANSWER_COMPLETE, "", 1},
    {"truncated", 3, 3, "{\"truncate_without_done\": true, \"count\": 2}",
     ANSWER_COMPLETE, ""},
    {"truncated always", 2, 2, "{\"truncate_without_done\": true}",
     ANSWER_ERROR, "yes"},
    {"first token late", 2, 2, "{\"delay_first_ms\": 700}", ANSWER_COMPLETE,
     ""},
    {"one draining", 2, 1, REFUSE_ALL("draining"), ANSWER_COMPLETE, ""},
    {"one full", 2, 1, REFUSE_ALL("full"), ANSWER_COMPLETE, ""},
    {"one not loaded", 2, 1, REFUSE_ALL("version_not_loaded"), ANSWER_COMPLETE,
     ""},
    {"one broken", 2, 1, REFUSE_ALL("broken"), ANSWER_COMPLETE, ""},
    {"all draining", 2, 2, REFUSE_ALL("draining"), ANSWER_ERROR, "no"},
    {"all full", 2, 2, REFUSE_ALL("full"), ANSWER_ERROR, "no"},
    {"all not loaded", 2, 2, REFUSE_ALL("version_not_loaded"), ANSWER_ERROR,
     "no"},
    {"all broken", 2, 2, REFUSE_ALL("broken"), ANSWER_ERROR, "no"},
};

#define FAULT_CASES (sizeof(fault_cases) / sizeof(fault_cases[0]))

/* The engine that requests with the reference's prompt are sent to first. */
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
    cr_assert_fail("no engine has answered the reference");
    return 0;
}

static void
fault_engines(int engines, const char *faults)
{
    int first = first_engine();

    for (int i = 0; i < engines; i++) {
        int engine = (first + i) % cluster->options.engines;

        cr_assert_eq(cluster_set_faults(cluster->engines[engine], faults),
                     200);
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

/* Back-offs are a host's own: each way has a router of its own. */
static void
start_way(answer_call_t *call, int stream)
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
end_way(answer_call_t *call, const fault_case_t *fault,
        const answer_call_t *reference)
{
    const char *way = call->chat.stream ? "streamed" : "whole";
    const answer_result_t *result = &call->result;

    answer_join(call);
    cr_expect_eq(result->end, fault->end, "%s, %s: %d %s", fault->name, way,
                 (int)result->end, result->code);
    cr_expect_str_eq(result->run, fault->run, "%s, %s", fault->name, way);
    expect_given_up(call->chat.router, fault);
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
    answer_call_t whole;

    cluster = answer_cluster_new(fault->engines, "2000");
    answer_call_reference(&reference, cluster, PROMPT, TOKENS);
    fault_engines(fault->faulty, fault->faults);
    start_way(&whole, 0);
    start_way(&streamed, 1);
    end_way(&whole, fault, &reference);
    end_way(&streamed, fault, &reference);
    answer_expect_bills(cluster, fault->end == ANSWER_COMPLETE ? 3 : 1,
                        fault->name);
    answer_clear(&reference);
}
