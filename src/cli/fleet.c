/** @file fleet.c @brief `status` and `counters`: query all hosts. */
#include "command.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_BYTES 128

static const char *
string_field(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "-";
}

static void
print_status(const pps_host_t *host, const json_t *status)
{
    if (status == NULL) {
        printf("%-16s %-10s unreachable: %s\n", host->id, host->failure_domain,
               pps_error_last());
        return;
    }
    printf(
        "%-16s %-10s revision=%lld serving=%s (%s)%s in_progress=%lld\n",
        host->id, host->failure_domain,
        (long long)json_integer_value(json_object_get(status, "revision")),
        json_is_true(json_object_get(status, "serving")) ? "yes" : "no",
        string_field(status, "serving_reason"),
        json_is_true(json_object_get(status, "draining")) ? " draining" : "",
        (long long)json_integer_value(json_object_get(status, "in_progress")));
}

static int
show_status(const pps_host_list_t *hosts, int as_json)
{
    json_t *statuses = json_object();
    int unreachable_count = 0;

    for (size_t i = 0; i < hosts->count; i++) {
        json_t *status = pps_cli_get_from_host(&hosts->hosts[i], "/status");

        unreachable_count += status == NULL;
        if (!as_json) {
            print_status(&hosts->hosts[i], status);
        }
        json_object_set_new(statuses, hosts->hosts[i].id,
                            status ? status : json_null());
    }
    if (as_json) {
        pps_cli_print_json(statuses);
    }
    json_decref(statuses);
    return unreachable_count > 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

static void
add_counter(json_t *sums, const char *line)
{
    char name[128];
    long long value;
    json_t *sum;

    if (line[0] == '#' || sscanf(line, "%127s %lld", name, &value) != 2) {
        return;
    }
    sum = json_object_get(sums, name);
    json_object_set_new(sums, name,
                        json_integer(json_integer_value(sum) + value));
}

static int
add_counters(json_t *sums, const pps_host_t *host)
{
    char url[URL_BYTES];
    char *text;
    char *position;

    snprintf(url, sizeof(url), "http://%s:%u/counters", host->address,
             host->operator_port);
    text = pps_cli_get_text(url);
    if (text == NULL) {
        fprintf(stderr, "%s: %s\n", host->id, pps_error_last());
        return -1;
    }
    for (char *line = strtok_r(text, "\n", &position); line != NULL;
         line = strtok_r(NULL, "\n", &position)) {
        add_counter(sums, line);
    }
    free(text);
    return 0;
}

static int
show_counters(const pps_host_list_t *hosts, int as_json)
{
    json_t *sums = json_object();
    const char *name;
    json_t *value;
    int unreachable_count = 0;

    for (size_t i = 0; i < hosts->count; i++) {
        unreachable_count += add_counters(sums, &hosts->hosts[i]) < 0;
    }
    if (as_json) {
        pps_cli_print_json(sums);
    }
    else {
        json_object_foreach(sums, name, value)
        {
            printf("%s %lld\n", name, (long long)json_integer_value(value));
        }
    }
    json_decref(sums);
    return unreachable_count > 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

static int
run_on_all_hosts(int argc, char **argv, const char *description,
                 int (*show)(const pps_host_list_t *hosts, int as_json))
{
    struct arg_str *platform =
        arg_str1("p", "platform", "URL", "URL of the platform service");
    struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {platform, as_json, help, end};
    pps_host_list_t hosts = PPS_HOST_LIST_INIT;
    int status = pps_cli_parse(argc, argv, table, help, end, description);

    if (status < 0) {
        if (pps_cli_get_hosts(&hosts, platform->sval[0]) < 0) {
            fprintf(stderr, "%s\n", pps_error_last());
            status = PPS_EXIT_FINDINGS;
        }
        else {
            status = show(&hosts, as_json->count > 0);
        }
        pps_host_list_clear(&hosts);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}

int
pps_cli_status(int argc, char **argv)
{
    return run_on_all_hosts(argc, argv, "Shows the state of every host.",
                            show_status);
}

int
pps_cli_counters(int argc, char **argv)
{
    return run_on_all_hosts(argc, argv,
                            "Shows the sums of the counters of all hosts.",
                            show_counters);
}
