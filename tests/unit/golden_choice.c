/** @file golden_choice.c @brief Implements commands on chats and answers. */
#include "golden_state.h"

#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MODEL "drafting"
#define DOMAIN_COUNT 2
#define IDLE_S 600

static void
run_workers(golden_t *golden, const golden_line_t *line)
{
    static const char *const domains[DOMAIN_COUNT] = {"a", "b"};
    pps_worker_t workers[GOLDEN_WORDS_MAX] = {0};
    size_t count = 0;

    for (; line->words[count + 1][0] != '\0'; count++) {
        workers[count] =
            (pps_worker_t){.id = line->words[count + 1],
                           .upstream = MODEL,
                           .address = "127.0.0.1",
                           .port = 1,
                           .failure_domain = domains[count % DOMAIN_COUNT],
                           .slots = 8};
    }
    for (size_t i = 0; i < golden->host_count; i++) {
        cr_assert_eq(pps_worker_view_new(&golden->hosts[i].workers, NULL,
                                         workers, count),
                     0);
    }
}

static void
propose_pin(golden_t *golden, const golden_host_t *host,
            const golden_line_t *line, const char *version)
{
    pps_pin_t pin = {.idle_s = IDLE_S};
    void *data;
    size_t size;

    golden_copy(pin.workspace, sizeof(pin.workspace), line->words[2]);
    golden_copy(pin.session, sizeof(pin.session), line->words[3]);
    golden_copy(pin.host, sizeof(pin.host), host->listed.id);
    snprintf(pin.version, sizeof(pin.version), "%s", version);
    cr_assert_eq(pps_pin_encode(&data, &size, &pin), 0);
    golden_print(golden, "proposes %s in work[%d]", version,
                 (int)golden_append(golden, &golden->work, data, size));
}

static void
select_worker(golden_t *golden, const golden_host_t *host, const char *version)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
    pps_choice_worker_t choice;
    int error;

    input.workers = host->workers;
    input.upstream = MODEL;
    input.model_version = version;
    input.now_us = golden->now_us;
    input.rng = &golden->rng;
    error = pps_choice_select_worker(&choice, &input);
    if (error < 0) {
        golden_print(golden, "refused, not run: %s, again in %d ms",
                     pps_error_name(error),
                     (int)(choice.retry_after_us / 1000));
        return;
    }
    golden_print(golden, "sent to %s as %s", choice.worker->id, version);
}

static int
select_version(golden_t *golden, const golden_host_t *host,
               const golden_line_t *line, const char *pinned,
               pps_choice_version_t *out)
{
    pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;

    input.catalog = pps_config_fold_catalog(host->config);
    input.workspace = pps_catalog_workspace(input.catalog, line->words[2]);
    cr_assert_not_null(input.workspace);
    input.model = MODEL;
    input.kind = "";
    input.pinned = pinned;
    input.rng = &golden->rng;
    return pps_choice_select_version(out, &input);
}

/* A new session proposes a pin; a chat after the pin is read gets a worker. */
static void
run_chat(golden_t *golden, const golden_line_t *line)
{
    const golden_host_t *host = golden_find_host(golden, line->words[1]);
    const char *session = line->words[3];
    pps_choice_version_t choice;
    pps_held_pin_t pin = {0};
    int error;

    if (session[0] != '\0') {
        pps_work_fold_pin(host->work, &pin, line->words[2], session,
                          pps_work_fold_log_time(host->work));
    }
    error = select_version(golden, host, line, pin.version, &choice);
    if (error < 0) {
        golden_print(golden, "refused, not run: %s", pps_error_name(error));
    }
    else if (session[0] != '\0' && pin.version == NULL) {
        propose_pin(golden, host, line, choice.version->name);
    }
    else {
        select_worker(golden, host, choice.version->name);
    }
}

static void
run_refuse(golden_t *golden, const golden_line_t *line)
{
    const golden_host_t *host = golden_find_host(golden, line->words[1]);
    pps_refusal_t reason;

    cr_assert_eq(pps_refusal_lookup(&reason, line->words[3]), 0);
    pps_worker_record_refusal(
        pps_worker_view_find(host->workers, line->words[2]), reason,
        line->words[4], golden->now_us, 0);
}

static void
run_answer(golden_t *golden, const golden_line_t *line)
{
    pps_assembler_clear(&golden->answer);
    golden_copy(golden->request, sizeof(golden->request), line->words[1]);
    pps_assembler_init(&golden->answer, golden->request);
}

static int
print_text(const char *text, void *user)
{
    golden_print(user, "handed on: %s", text);
    return 0;
}

static void
take_event(golden_t *golden, const pps_engine_event_t *event)
{
    int error = pps_assembler_add(&golden->answer, event, print_text, golden);

    if (error < 0) {
        golden_print(golden, "refused: %s", pps_error_name(error));
    }
    if (pps_assembler_is_complete(&golden->answer)) {
        golden_print(golden, "whole");
    }
}

static void
run_token(golden_t *golden, const golden_line_t *line)
{
    const char *request = line->words[3];
    const pps_engine_event_t event = {
        .request_id = request[0] ? request : golden->request,
        .index = strtoull(line->words[1], NULL, 10),
        .text = line->words[2]};

    take_event(golden, &event);
}

static void
run_finish(golden_t *golden, const golden_line_t *line)
{
    const pps_engine_event_t event = {.kind = PPS_ENGINE_FINISH,
                                      .request_id = golden->request,
                                      .finish_reason = "stop",
                                      .generated_tokens =
                                          strtoull(line->words[1], NULL, 10)};

    take_event(golden, &event);
}

static void
run_break(golden_t *golden, const golden_line_t *line)
{
    golden_print(golden, "%s; goes on from token %d",
                 pps_assembler_is_complete(&golden->answer) ? "whole"
                                                            : "not whole",
                 (int)golden->answer.next);
    pps_assembler_restart(&golden->answer);
}

const golden_command_t golden_choice_commands[] = {
    {"workers", run_workers}, /* workers ID... */
    {"chat", run_chat},       /* chat HOST WORKSPACE [SESSION] */
    {"refuse", run_refuse},   /* refuse HOST WORKER REASON [VERSION] */
    {"answer", run_answer},   /* answer REQUEST */
    {"token", run_token},     /* token INDEX TEXT [REQUEST] */
    {"finish", run_finish},   /* finish TOKENS */
    {"break", run_break},     /* break: the connection of the stream is lost */
    {NULL, NULL},
};
