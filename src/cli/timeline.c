/** @file timeline.c @brief `papayaswitch timeline`: merges events by time. */
#include "command.h"
#include "log_line.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define US_PER_S 1000000LL

/** Matches events whose field `key` equals `value`; NULL matches all. */
typedef struct {
    const char *key;
    const char *value;
} filter_t;

#define FILTER_COUNT 4

static int
matches_filters(const json_t *event, const filter_t filters[FILTER_COUNT])
{
    for (int i = 0; i < FILTER_COUNT; i++) {
        const char *text;

        if (filters[i].value == NULL) {
            continue;
        }
        text = json_string_value(json_object_get(event, filters[i].key));
        if (text == NULL || strcmp(text, filters[i].value) != 0) {
            return 0;
        }
    }
    return 1;
}

static long long
integer_field(const json_t *event, const char *key)
{
    return json_integer_value(json_object_get(event, key));
}

static int
compare_events(const void *a, const void *b)
{
    const json_t *x = *(json_t *const *)a;
    const json_t *y = *(json_t *const *)b;
    long long by_time =
        integer_field(x, "time_us") - integer_field(y, "time_us");
    long long by_seq = integer_field(x, "seq") - integer_field(y, "seq");
    long long order = by_time != 0 ? by_time : by_seq;

    return (order > 0) - (order < 0);
}

static int
is_common_field(const char *key)
{
    return strcmp(key, "time_us") == 0 || strcmp(key, "seq") == 0 ||
           strcmp(key, "host") == 0 || strcmp(key, "kind") == 0 ||
           strcmp(key, "incarnation") == 0;
}

static void
print_event(const json_t *event)
{
    long long time_us = integer_field(event, "time_us");
    time_t seconds = time_us / US_PER_S;
    struct tm parts;
    char time_text[16];
    const char *key;
    json_t *value;

    gmtime_r(&seconds, &parts);
    strftime(time_text, sizeof(time_text), "%H:%M:%S", &parts);
    printf("%s.%06lld %-12s %-18s", time_text, time_us % US_PER_S,
           json_string_value(json_object_get(event, "host")),
           json_string_value(json_object_get(event, "kind")));
    json_object_foreach((json_t *)event, key, value)
    {
        if (is_common_field(key)) {
            continue;
        }
        if (json_is_string(value)) {
            printf(" %s=%s", key, json_string_value(value));
        }
        else {
            printf(" %s=%lld", key, (long long)json_integer_value(value));
        }
    }
    putchar('\n');
}

/* Returns the exit status: a host that is not reached is a finding. */
static int
add_host(json_t *all, const pps_host_t *host,
         const filter_t filters[FILTER_COUNT])
{
    json_t *response = pps_cli_get_from_host(host, "/events");
    size_t index;
    json_t *event;

    if (response == NULL) {
        fprintf(stderr, "%s: %s\n", host->id, pps_error_last());
        return PPS_EXIT_FINDINGS;
    }
    json_array_foreach(json_object_get(response, "events"), index, event)
    {
        if (matches_filters(event, filters)) {
            json_array_append(all, event);
        }
    }
    json_decref(response);
    return PPS_EXIT_OK;
}

static void
add_file(json_t *all, const char *path, const filter_t filters[FILTER_COUNT])
{
    json_t *saved = json_load_file(path, 0, NULL);
    size_t index;
    json_t *event;

    json_array_foreach(json_is_array(saved) ? saved
                                            : json_object_get(saved, "events"),
                       index, event)
    {
        if (matches_filters(event, filters)) {
            json_array_append(all, event);
        }
    }
    if (saved == NULL) {
        fprintf(stderr, "%s: not a valid JSON file\n", path);
    }
    json_decref(saved);
}

/* Adds the events of a log file and prints how many lines are no events. */
static void
add_log(json_t *all, const char *path, const filter_t filters[FILTER_COUNT])
{
    FILE *file = fopen(path, "r");
    char *line = NULL;
    size_t size = 0;
    long long lines = 0;
    long long skipped = 0;

    if (file == NULL) {
        fprintf(stderr, "%s: cannot be opened\n", path);
        return;
    }
    while (getline(&line, &size, file) >= 0) {
        json_t *event;

        lines++;
        if (pps_log_line_read(&event, line, lines) != 0) {
            skipped++;
            continue;
        }
        if (matches_filters(event, filters)) {
            json_array_append(all, event);
        }
        json_decref(event);
    }
    free(line);
    fclose(file);
    if (skipped > 0) {
        fprintf(stderr, "%s: %lld of %lld lines are not events\n", path,
                skipped, lines);
    }
}

static int
add_all_hosts(json_t *all, const char *platform,
              const filter_t filters[FILTER_COUNT])
{
    pps_host_list_t hosts = PPS_HOST_LIST_INIT;
    int status = PPS_EXIT_OK;

    if (pps_cli_get_hosts(&hosts, platform) < 0) {
        status = PPS_EXIT_FINDINGS;
    }
    for (size_t i = 0; i < hosts.count; i++) {
        if (add_host(all, &hosts.hosts[i], filters) != PPS_EXIT_OK) {
            status = PPS_EXIT_FINDINGS;
        }
    }
    pps_host_list_clear(&hosts);
    return status;
}

static void
print_merged(json_t *all, int as_json)
{
    size_t count = json_array_size(all);
    json_t **events = calloc(count + 1, sizeof(json_t *));

    if (events == NULL) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        events[i] = json_array_get(all, i);
    }
    qsort(events, count, sizeof(json_t *), compare_events);
    if (as_json) {
        json_t *sorted = json_array();

        for (size_t i = 0; i < count; i++) {
            json_array_append(sorted, events[i]);
        }
        pps_cli_print_json(sorted);
        json_decref(sorted);
    }
    for (size_t i = 0; i < count && !as_json; i++) {
        print_event(events[i]);
    }
    free((void *)events);
}

int
pps_cli_timeline(int argc, char **argv)
{
    struct arg_str *platform =
        arg_str0("p", "platform", "URL",
                 "read the events of the hosts of this platform");
    struct arg_str *request =
        arg_str0(NULL, "request", "ID", "only events of this request");
    struct arg_str *session =
        arg_str0(NULL, "session", "ID", "only events of this session");
    struct arg_str *note =
        arg_str0(NULL, "note", "ID", "only events of this note");
    struct arg_str *kind =
        arg_str0(NULL, "kind", "KIND", "only events of this kind");
    struct arg_file *saved =
        arg_filen(NULL, "file", "FILE", 0, 16,
                  "add events that were saved from a removed host");
    struct arg_file *logs =
        arg_filen(NULL, "log", "FILE", 0, 64, "add lines of a host's log");
    struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {platform, request, session, note, kind,
                     saved,    logs,    as_json, help, end};
    json_t *all = json_array();
    int status =
        pps_cli_parse(argc, argv, table, help, end,
                      "Merges the events of hosts, files and logs by time.");

    if (status < 0) {
        const filter_t filters[FILTER_COUNT] = {
            {"request", request->count ? request->sval[0] : NULL},
            {"session", session->count ? session->sval[0] : NULL},
            {"note", note->count ? note->sval[0] : NULL},
            {"kind", kind->count ? kind->sval[0] : NULL}};

        status = platform->count > 0
                     ? add_all_hosts(all, platform->sval[0], filters)
                     : PPS_EXIT_OK;
        for (int i = 0; i < saved->count; i++) {
            add_file(all, saved->filename[i], filters);
        }
        for (int i = 0; i < logs->count; i++) {
            add_log(all, logs->filename[i], filters);
        }
        print_merged(all, as_json->count > 0);
    }
    json_decref(all);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
