/** @file load_options.c @brief Command line of `papayaswitch load`. */
#include "load_options.h"

#include "clock.h"
#include "command.h"
#include "papayaswitch/errors.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERRORS_SHOWN_MAX 8

typedef struct {
    struct arg_str *entry;
    struct arg_str *workspace;
    struct arg_str *mix;
    struct arg_dbl *rate;
    struct arg_dbl *seconds;
    struct arg_int *seed;
    struct arg_file *json;
    struct arg_int *sessions;
    struct arg_int *threads;
    struct arg_int *timeout;
    struct arg_str *model;
    struct arg_str *service;
    struct arg_str *run_id;
    struct arg_lit *verify;
    struct arg_lit *help;
    struct arg_end *end;
} load_args_t;

static load_args_t
make_args(void)
{
    return (load_args_t){
        arg_strn(NULL, "entry", "ADDRESS:PORT", 1, LOAD_ENTRIES_MAX,
                 "an entry host"),
        arg_strn(NULL, "workspace", "NAME=KEY", 1, LOAD_WORKSPACES_MAX,
                 "workspace and its bearer key"),
        arg_str0(
            NULL, "mix", "KIND=SHARE,...",
            "shares of captions, footnotes, commentary, lookups, releases"),
        arg_dbl1(NULL, "rate", "N", "requests per second"),
        arg_dbl1(NULL, "seconds", "N", "duration of the load in seconds"),
        arg_int0(NULL, "seed", "N", "seed of the random numbers"),
        arg_file0(NULL, "json", "FILE",
                  "file of the report (default: standard output)"),
        arg_int0(NULL, "sessions", "N", "number of sessions"),
        arg_int0(NULL, "threads", "N", "number of caller threads"),
        arg_int0(NULL, "timeout", "S", "timeout of an attempt in seconds"),
        arg_str0(NULL, "model", "NAME", "model to request"),
        arg_str0(NULL, "service", "NAME", "service to call"),
        arg_str0(NULL, "run-id", "TEXT", "prefix of the request ids"),
        arg_lit0(NULL, "verify",
                 "compare texts with those of the stand-in engine"),
        arg_lit0("h", "help", "show this help"),
        arg_end(ERRORS_SHOWN_MAX),
    };
}

static void
set_defaults(load_options_t *options)
{
    memset(options, 0, sizeof(*options));
    options->seed = 1;
    options->threads = 64;
    options->timeout_s = 60;
    snprintf(options->model, sizeof(options->model), "drafting");
    snprintf(options->service, sizeof(options->service), "registry");
    snprintf(options->run_id, sizeof(options->run_id), "load-%llx",
             (unsigned long long)pps_clock_wall_us());
}

static int
parse_entries(load_options_t *options, const struct arg_str *entry)
{
    for (int i = 0; i < entry->count; i++) {
        snprintf(options->entries[i], sizeof(options->entries[i]), "%s",
                 entry->sval[i]);
    }
    options->entry_count = (size_t)entry->count;
    return PPS_OK;
}

static int
parse_workspaces(load_options_t *options, const struct arg_str *workspace)
{
    for (int i = 0; i < workspace->count; i++) {
        load_workspace_t *out = &options->workspaces[i];
        const char *text = workspace->sval[i];
        const char *equals = strchr(text, '=');

        if (equals == NULL) {
            return pps_error_set(PPS_EINVALID,
                                 "--workspace %s: expected NAME=KEY", text);
        }
        snprintf(out->name, sizeof(out->name), "%.*s", (int)(equals - text),
                 text);
        snprintf(out->key, sizeof(out->key), "%s", equals + 1);
    }
    options->workspace_count = (size_t)workspace->count;
    return PPS_OK;
}

static int
parse_mix(load_options_t *options, const char *mix)
{
    while (*mix != '\0') {
        size_t length = strcspn(mix, "=");
        int kind = load_kind_find(mix, length);
        char *end;
        long share;

        if (kind < 0 || mix[length] != '=') {
            return pps_error_set(
                PPS_EINVALID,
                "--mix: expected KIND=SHARE, share 0 to 1000, at '%s'", mix);
        }
        share = strtol(mix + length + 1, &end, 10);
        if (share < 0 || share > 1000 || (*end != '\0' && *end != ',')) {
            return pps_error_set(
                PPS_EINVALID,
                "--mix: expected KIND=SHARE, share 0 to 1000, at '%s'", mix);
        }
        options->weights[kind] = (int)share;
        options->weight_sum += (int)share;
        mix = end + (*end == ',');
    }
    if (options->weight_sum == 0) {
        return pps_error_set(PPS_EINVALID,
                             "--mix: expected a sum of shares above 0");
    }
    return PPS_OK;
}

static void
copy_text(char *out, size_t size, const struct arg_str *text)
{
    if (text->count > 0) {
        snprintf(out, size, "%s", text->sval[0]);
    }
}

static void
copy_int(int *out, const struct arg_int *number)
{
    if (number->count > 0) {
        *out = number->ival[0];
    }
}

static int
check_ranges(const load_options_t *options)
{
    if (options->rate <= 0 || options->rate > LOAD_RATE_MAX ||
        options->seconds <= 0 || options->seconds > LOAD_SECONDS_MAX ||
        options->threads < 1 || options->threads > LOAD_THREADS_MAX ||
        options->sessions < 0 || options->sessions > LOAD_SESSIONS_MAX ||
        options->timeout_s < 1) {
        return pps_error_set(
            PPS_EINVALID,
            "out of range: expected --rate above 0 and up to 5000, --seconds "
            "above 0 and up to 3600, --threads 1 to 512, --sessions 0 to "
            "10000, --timeout 1 or more");
    }
    return PPS_OK;
}

static int
apply_args(load_options_t *options, const load_args_t *args)
{
    const char *mix = args->mix->count > 0
                          ? args->mix->sval[0]
                          : "captions=60,footnotes=20,lookups=15,releases=5";
    int error = parse_entries(options, args->entry);

    if (error == 0) {
        error = parse_workspaces(options, args->workspace);
    }
    if (error == 0) {
        error = parse_mix(options, mix);
    }
    options->rate = args->rate->dval[0];
    options->seconds = args->seconds->dval[0];
    options->seed = args->seed->count > 0 ? (uint64_t)args->seed->ival[0] : 1;
    options->verify = args->verify->count > 0;
    copy_int(&options->sessions, args->sessions);
    copy_int(&options->threads, args->threads);
    copy_int(&options->timeout_s, args->timeout);
    copy_text(options->model, sizeof(options->model), args->model);
    copy_text(options->service, sizeof(options->service), args->service);
    copy_text(options->run_id, sizeof(options->run_id), args->run_id);
    if (args->json->count > 0) {
        snprintf(options->json, sizeof(options->json), "%s",
                 args->json->filename[0]);
    }
    return error < 0 ? error : check_ranges(options);
}

int
load_options_parse(load_options_t *options, int argc, char **argv)
{
    load_args_t args = make_args();
    void **table = (void **)&args;
    int status =
        pps_cli_parse(argc, argv, table, args.help, args.end,
                      "Sends requests at a rate and reports the results. "
                      "Exit code 0: all guarantees held; 1: one was "
                      "violated or the run failed; 2: usage.");

    set_defaults(options);
    if (status < 0 && apply_args(options, &args) < 0) {
        fprintf(stderr, "%s: %s\n", argv[0], pps_error_last());
        status = PPS_EXIT_USAGE;
    }
    arg_freetable(table, sizeof(args) / sizeof(void *));
    return status;
}
