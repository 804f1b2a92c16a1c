/** @file load_request.c @brief Draws the requests of a load from a seed. */
#include "load_request.h"

#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define ARCHIVE_ENTRY_COUNT 5000
/* 2^64 divided by the golden ratio; separates the seeds of the requests. */
#define SEED_STRIDE UINT64_C(0x9e3779b97f4a7c15)

const load_kind_t *
load_request_kind(const load_request_t *request)
{
    return &load_kinds[request->kind];
}

static int
draw_kind(const load_options_t *options, pps_rng_t *rng)
{
    int remaining = (int)pps_rng_below(rng, (uint64_t)options->weight_sum);
    int kind = 0;

    while (remaining >= options->weights[kind]) {
        remaining -= options->weights[kind];
        kind++;
    }
    return kind;
}

static json_t *
make_prompt(const load_request_t *request)
{
    pps_buf_t text = PPS_BUF_INIT;
    json_t *content;

    while (text.size < load_request_kind(request)->prompt_bytes) {
        pps_buf_printf(&text, "House rules of %s for %s. ",
                       request->workspace->name,
                       load_request_kind(request)->name);
    }
    pps_buf_printf(&text, "Table %s.", request->id);
    content = json_string(pps_buf_text(&text));
    pps_buf_clear(&text);
    return content;
}

static json_t *
make_body(const load_request_t *request)
{
    const load_kind_t *kind = load_request_kind(request);

    if (kind->target == LOAD_TARGET_MODEL) {
        return json_pack("{s:s,s:[{s:s,s:o}],s:i,s:b}", "model",
                         request->options->model, "messages", "role", "user",
                         "content", make_prompt(request), "max_tokens",
                         kind->max_tokens, "stream", kind->stream);
    }
    return json_pack("{s:s}", "table", request->id);
}

static int
write_body(load_request_t *request)
{
    json_t *body = make_body(request);
    char *text = json_dumps(body, JSON_COMPACT);
    int error = PPS_ENOMEM;

    if (text != NULL) {
        error = pps_buf_puts(&request->body, text);
    }
    free(text);
    json_decref(body);
    return error;
}

static void
draw_fields(load_request_t *request, uint64_t index)
{
    const load_options_t *options = request->options;
    load_target_t target;

    request->kind = draw_kind(options, &request->rng);
    target = load_request_kind(request)->target;
    request->session = -1;
    if (options->sessions > 0 && target == LOAD_TARGET_MODEL) {
        request->session =
            (int)pps_rng_below(&request->rng, (uint64_t)options->sessions);
        index = (uint64_t)request->session;
    }
    else {
        index = pps_rng_next(&request->rng);
    }
    request->workspace =
        &options->workspaces[index % options->workspace_count];
    if (target == LOAD_TARGET_LOOKUP) {
        snprintf(request->resource, sizeof(request->resource),
                 "archive/%" PRIu64,
                 pps_rng_below(&request->rng, ARCHIVE_ENTRY_COUNT));
    }
    else {
        snprintf(request->resource, sizeof(request->resource), "releases");
    }
}

int
load_request_new(load_request_t **out, const load_options_t *options,
                 uint64_t index, int64_t due_us)
{
    load_request_t *request = calloc(1, sizeof(*request));
    int error = PPS_OK;

    if (request == NULL) {
        return pps_error_set(PPS_ENOMEM, "request: out of memory");
    }
    request->options = options;
    request->due_us = due_us;
    pps_rng_init(&request->rng, options->seed + (index + 1) * SEED_STRIDE);
    snprintf(request->id, sizeof(request->id), "%s-%" PRIu64, options->run_id,
             index);
    draw_fields(request, index);
    if (load_request_kind(request)->target != LOAD_TARGET_LOOKUP) {
        error = write_body(request);
    }
    if (error < 0) {
        load_request_free(request);
        return pps_error_set(PPS_ENOMEM, "request: out of memory");
    }
    *out = request;
    return PPS_OK;
}

void
load_request_free(load_request_t *request)
{
    if (request != NULL) {
        pps_buf_clear(&request->body);
        free(request);
    }
}
