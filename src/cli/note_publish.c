/** @file note_publish.c @brief Commands `note publish` and `note status`. */
#include "clock.h"
#include "command.h"
#include "ini_lines.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/findings.h"
#include "papayaswitch/log_http.h"
#include "papayaswitch/note.h"
#include "papayaswitch/record.h"
#include "papayaswitch/serving.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_ATTEMPTS_MAX 20
#define APPEND_RETRY_INTERVAL_US (100 * PPS_US_PER_MS)
#define POLL_INTERVAL_US (50 * PPS_US_PER_MS)
#define TIMEOUT_DEFAULT_S 30

/** Progress of the publication of a note. */
typedef struct {
    const char *platform;
    const char *note_id;
    pps_publish_stage_t target_stage;
    int64_t deadline_us;
    pps_host_list_t hosts;
    pps_publish_report_t *reports;
    uint64_t revision; /**< made by the note; 0 unless accepted */
    char reason[256];  /**< reason of the rejection */
    int is_rejected;
    pps_publish_stage_t stage;
    int is_folded; /**< a host has folded the note */
} publish_t;

static int
append_note(const char *platform, const char *text, size_t size)
{
    pps_log_backend_t *log = NULL;
    pps_log_blob_t blob = {0};
    void *record = NULL;
    uint64_t offset;
    int error = pps_log_http_new(&log, platform);

    if (error == 0) {
        error = pps_record_encode(&record, &blob.size, PPS_RECORD_NOTE, text,
                                  size);
        blob.data = record;
    }
    if (error < 0) {
        goto done;
    }
    /* The fold identifies notes by id, so a repeated append is harmless. */
    for (int i = 0; i < APPEND_ATTEMPTS_MAX; i++) {
        error = log->append(log, PPS_STREAM_CONFIG, &blob, 1, &offset);
        if (error == 0) {
            break;
        }
        pps_clock_sleep_us(APPEND_RETRY_INTERVAL_US);
    }

done:
    free(record);
    if (log != NULL) {
        log->free(log);
    }
    return error;
}

static void
read_verdict(publish_t *publish, const json_t *notes)
{
    size_t index;
    json_t *note;

    json_array_foreach(json_object_get(notes, "notes"), index, note)
    {
        const char *id = json_string_value(json_object_get(note, "id"));
        const char *reason =
            json_string_value(json_object_get(note, "reason"));

        if (id == NULL || strcmp(id, publish->note_id) != 0) {
            continue;
        }
        publish->is_folded = 1;
        publish->is_rejected =
            !json_is_true(json_object_get(note, "accepted"));
        publish->revision =
            (uint64_t)json_integer_value(json_object_get(note, "revision"));
        snprintf(publish->reason, sizeof(publish->reason), "%s",
                 reason ? reason : "");
    }
}

static void
poll_host(publish_t *publish, size_t index)
{
    const pps_host_t *host = &publish->hosts.hosts[index];
    pps_host_report_t report = {.echo_us = pps_clock_now_us()};
    json_t *status = pps_cli_get_from_host(host, "/status");

    if (status == NULL) {
        return;
    }
    report.pong_received_us = pps_clock_now_us();
    snprintf(report.id, sizeof(report.id), "%s", host->id);
    report.status.incarnation =
        (uint64_t)json_integer_value(json_object_get(status, "incarnation"));
    report.status.revision =
        (uint64_t)json_integer_value(json_object_get(status, "revision"));
    pps_publish_report_update(&publish->reports[index], &report,
                              publish->revision);
    json_decref(status);
}

static void
poll_verdict(publish_t *publish)
{
    for (size_t i = 0; i < publish->hosts.count && !publish->is_folded; i++) {
        json_t *notes =
            pps_cli_get_from_host(&publish->hosts.hosts[i], "/notes");

        read_verdict(publish, notes);
        json_decref(notes);
    }
}

static void
print_missing(const pps_publish_status_t *status)
{
    for (size_t i = 0; i < status->missing_count; i++) {
        printf("missing: %s\n", status->missing[i]);
    }
}

static int
update_stage(publish_t *publish, int show_missing)
{
    pps_publish_input_t input = PPS_PUBLISH_INPUT_INIT;
    pps_publish_status_t status = {0};
    int error;

    for (size_t i = 0; i < publish->hosts.count; i++) {
        poll_host(publish, i);
    }
    input.hosts = &publish->hosts;
    input.reports = publish->reports;
    input.report_count = publish->hosts.count;
    input.revision = publish->revision;
    input.now_us = pps_clock_now_us();
    error = pps_publish_evaluate(&status, &input);
    if (error == 0 && status.stage > publish->stage) {
        publish->stage = status.stage;
        printf("%s: %s\n", publish->note_id,
               pps_publish_stage_name(status.stage));
        show_missing |= status.stage == PPS_PUBLISH_IN_FORCE;
    }
    if (error == 0 && show_missing) {
        print_missing(&status);
    }
    fflush(stdout);
    pps_publish_status_clear(&status);
    return error;
}

static void
init_report(pps_publish_report_t *report, const pps_host_t *host,
            const publish_t *previous)
{
    snprintf(report->id, sizeof(report->id), "%s", host->id);
    report->held_since_us = PPS_TIME_NONE;
    report->ping_sent_us = PPS_TIME_NONE;
    for (size_t i = 0; i < previous->hosts.count; i++) {
        if (strcmp(previous->reports[i].id, host->id) == 0) {
            *report = previous->reports[i];
        }
    }
}

/* The platform's list lags and changes, so it is read in every round. */
static int
refresh_hosts(publish_t *publish)
{
    pps_host_list_t hosts = PPS_HOST_LIST_INIT;
    pps_publish_report_t *reports;
    int error = pps_cli_get_hosts(&hosts, publish->platform);

    if (error < 0) {
        return error;
    }
    reports = calloc(hosts.count + 1, sizeof(*reports));
    if (reports == NULL) {
        pps_host_list_clear(&hosts);
        return pps_error_set(PPS_ENOMEM, "publish: out of memory");
    }
    for (size_t i = 0; i < hosts.count; i++) {
        init_report(&reports[i], &hosts.hosts[i], publish);
    }
    free(publish->reports);
    pps_host_list_clear(&publish->hosts);
    publish->hosts = hosts;
    publish->reports = reports;
    return PPS_OK;
}

static int
wait_for_stage(publish_t *publish)
{
    while (pps_clock_now_us() < publish->deadline_us) {
        int error = refresh_hosts(publish);

        if (error == 0 && !publish->is_folded) {
            poll_verdict(publish);
        }
        if (publish->is_rejected) {
            return pps_error_set(PPS_ECONFLICT, "rejected: %s",
                                 publish->reason);
        }
        if (error == 0 && publish->is_folded && publish->hosts.count > 0 &&
            update_stage(publish, 0) == 0 &&
            publish->stage >= publish->target_stage) {
            return PPS_OK;
        }
        pps_clock_sleep_us(POLL_INTERVAL_US);
    }
    update_stage(publish, 1);
    return pps_error_set(PPS_ETIMEOUT, "reached only: %s",
                         publish->is_folded
                             ? pps_publish_stage_name(publish->stage)
                             : "appended, but not folded by any host");
}

static int
wait_and_clear(publish_t *publish)
{
    int error = wait_for_stage(publish);

    if (error < 0) {
        fprintf(stderr, "%s: %s\n", publish->note_id, pps_error_last());
    }
    free(publish->reports);
    pps_host_list_clear(&publish->hosts);
    return error < 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

static int
read_note(pps_note_t **out, char **text, size_t *size, const char *path)
{
    pps_findings_t *findings = NULL;
    int error = pps_file_read(text, size, path);

    if (error < 0) {
        fprintf(stderr, "%s\n", pps_error_last());
        return error;
    }
    error = pps_findings_new(&findings);
    if (error == 0) {
        error = pps_note_parse(out, *text, *size, path, findings);
        pps_findings_print(findings, stderr);
    }
    pps_findings_free(findings);
    return error;
}

static int
publish_file(const char *path, publish_t *publish, int wait)
{
    pps_note_t *note = NULL;
    char *text = NULL;
    size_t size = 0;
    int status = PPS_EXIT_FINDINGS;

    if (read_note(&note, &text, &size, path) < 0) {
        goto done;
    }
    publish->note_id = pps_note_id(note);
    if (append_note(publish->platform, text, size) < 0) {
        fprintf(stderr, "%s: %s\n", path, pps_error_last());
        goto done;
    }
    printf("%s: appended\n", publish->note_id);
    fflush(stdout);
    status = wait ? wait_and_clear(publish) : PPS_EXIT_OK;

done:
    pps_note_free(note);
    free(text);
    return status;
}

static int
parse_stage(pps_publish_stage_t *out, const char *text)
{
    for (int i = PPS_PUBLISH_PUBLISHED; i <= PPS_PUBLISH_IN_FORCE; i++) {
        if (strcmp(text, pps_publish_stage_name((pps_publish_stage_t)i)) ==
            0) {
            *out = (pps_publish_stage_t)i;
            return PPS_OK;
        }
    }
    fputs("--wait: published, accepted or in_force\n", stderr);
    return PPS_EINVALID;
}

/** Arguments of both commands. */
typedef struct {
    struct arg_str *platform;
    struct arg_str *wait;
    struct arg_int *timeout;
    struct arg_lit *help;
    struct arg_end *end;
} arguments_t;

static void
make_arguments(arguments_t *arguments)
{
    arguments->platform =
        arg_str1("p", "platform", "URL", "URL of the platform service");
    arguments->wait =
        arg_str0(NULL, "wait", "STAGE",
                 "wait for the stage published, accepted or in_force");
    arguments->timeout = arg_int0(NULL, "timeout", "SECONDS",
                                  "time limit of the wait (default 30)");
    arguments->help = arg_lit0("h", "help", "show this help");
    arguments->end = arg_end(8);
    arguments->timeout->ival[0] = TIMEOUT_DEFAULT_S;
}

static int
init_publish(publish_t *publish, const arguments_t *arguments)
{
    memset(publish, 0, sizeof(*publish));
    publish->platform = arguments->platform->sval[0];
    publish->deadline_us =
        pps_clock_now_us() + arguments->timeout->ival[0] * PPS_US_PER_S;
    if (arguments->wait->count == 0) {
        return PPS_OK;
    }
    return parse_stage(&publish->target_stage, arguments->wait->sval[0]);
}

int
pps_cli_note_publish(int argc, char **argv)
{
    struct arg_file *file = arg_file1(NULL, NULL, "FILE", "a release note");
    arguments_t arguments;
    publish_t publish;
    int status;

    make_arguments(&arguments);

    void *table[] = {file,           arguments.platform,
                     arguments.wait, arguments.timeout,
                     arguments.help, arguments.end};

    status = pps_cli_parse(argc, argv, table, arguments.help, arguments.end,
                           "Publishes a release note.");
    if (status < 0) {
        status = init_publish(&publish, &arguments) < 0
                     ? PPS_EXIT_USAGE
                     : publish_file(file->filename[0], &publish,
                                    arguments.wait->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}

int
pps_cli_note_status(int argc, char **argv)
{
    struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of a note");
    arguments_t arguments;
    publish_t publish;
    int status;

    make_arguments(&arguments);

    void *table[] = {id,
                     arguments.platform,
                     arguments.wait,
                     arguments.timeout,
                     arguments.help,
                     arguments.end};

    status = pps_cli_parse(argc, argv, table, arguments.help, arguments.end,
                           "Shows the publish stage of a note.");
    if (status < 0) {
        status = PPS_EXIT_USAGE;
        if (init_publish(&publish, &arguments) == 0) {
            publish.note_id = id->sval[0];
            status = wait_and_clear(&publish);
        }
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
