/** @file note_diff.c @brief Commands `note diff` and `catalog`. */
#include "command.h"
#include "papayaswitch/catalog_json.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/note_check.h"

#include <stdio.h>

/* Returns the catalog of the highest revision that a host holds. */
static json_t *
get_newest_catalog(const char *platform)
{
    pps_host_list_t hosts = PPS_HOST_LIST_INIT;
    json_t *newest = NULL;

    if (pps_cli_get_hosts(&hosts, platform) < 0) {
        return NULL;
    }
    for (size_t i = 0; i < hosts.count; i++) {
        json_t *catalog = pps_cli_get_from_host(&hosts.hosts[i], "/catalog");

        if (catalog != NULL &&
            (newest == NULL ||
             json_integer_value(json_object_get(catalog, "revision")) >
                 json_integer_value(json_object_get(newest, "revision")))) {
            json_decref(newest);
            newest = json_incref(catalog);
        }
        json_decref(catalog);
    }
    pps_host_list_clear(&hosts);
    if (newest == NULL) {
        pps_error_set(PPS_EUNAVAILABLE, "no host returned its catalog");
    }
    return newest;
}

static void
print_line(const char *text, void *user)
{
    puts(text);
}

static int
print_diff(const char *path, const pps_catalog_t *in_force)
{
    pps_findings_t *findings = NULL;
    pps_catalog_t *next = NULL;
    int error = pps_findings_new(&findings);

    if (error == 0) {
        error = pps_note_check_file(path, in_force, &next, findings);
        pps_findings_print(findings, stderr);
    }
    if (error == 0) {
        error = pps_catalog_diff(in_force, next, print_line, NULL);
    }
    pps_catalog_free(next);
    pps_findings_free(findings);
    return error < 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

static int
diff(const char *path, const char *platform)
{
    json_t *object = get_newest_catalog(platform);
    pps_catalog_t *in_force = NULL;
    int status = PPS_EXIT_FINDINGS;

    if (object == NULL || pps_catalog_from_json(&in_force, object) < 0) {
        fprintf(stderr, "note diff: %s\n", pps_error_last());
    }
    else {
        status = print_diff(path, in_force);
    }
    pps_catalog_free(in_force);
    json_decref(object);
    return status;
}

int
pps_cli_note_diff(int argc, char **argv)
{
    struct arg_file *file = arg_file1(NULL, NULL, "FILE", "a release note");
    struct arg_str *platform =
        arg_str1("p", "platform", "URL", "URL of the platform service");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {file, platform, help, end};
    int status = pps_cli_parse(argc, argv, table, help, end,
                               "Prints the changes that a note makes to the "
                               "catalog in force.");

    if (status < 0) {
        status = diff(file->filename[0], platform->sval[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}

int
pps_cli_catalog(int argc, char **argv)
{
    struct arg_str *platform =
        arg_str1("p", "platform", "URL", "URL of the platform service");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {platform, help, end};
    int status = pps_cli_parse(argc, argv, table, help, end,
                               "Prints the catalog in force as JSON, for "
                               "'note check --in-force'.");
    json_t *catalog;

    if (status < 0) {
        catalog = get_newest_catalog(platform->sval[0]);
        status = catalog ? PPS_EXIT_OK : PPS_EXIT_FINDINGS;
        if (catalog != NULL) {
            pps_cli_print_json(catalog);
        }
        else {
            fprintf(stderr, "catalog: %s\n", pps_error_last());
        }
        json_decref(catalog);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
