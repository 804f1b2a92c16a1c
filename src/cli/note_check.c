/** @file note_check.c @brief `papayaswitch note check`: prints findings. */
#include "command.h"

#include "papayaswitch/errors.h"
#include "papayaswitch/note_check.h"

#include <stdio.h>

#define FILES_MAX 64
#define ERRORS_MAX 8

static int
print_error(void)
{
    fprintf(stderr, "note check: %s\n", pps_error_last());
    return PPS_EXIT_USAGE;
}

static int
check_files(const struct arg_file *files, const pps_catalog_t *in_force)
{
    pps_findings_t *findings;
    int status = PPS_EXIT_OK;

    if (pps_findings_new(&findings) < 0) {
        return print_error();
    }
    for (int i = 0; i < files->count; i++) {
        int error =
            pps_note_check_file(files->filename[i], in_force, NULL, findings);

        if (error < 0 && error != PPS_EINVALID && error != PPS_ECONFLICT) {
            status = print_error();
        }
    }
    pps_findings_print(findings, stdout);
    if (status == PPS_EXIT_OK && pps_findings_count(findings) > 0) {
        status = PPS_EXIT_FINDINGS;
    }
    pps_findings_free(findings);
    return status;
}

static int
run(const struct arg_file *files, const struct arg_file *in_force)
{
    pps_catalog_t *catalog = NULL;
    int status;

    if (in_force->count > 0 &&
        pps_catalog_load(&catalog, in_force->filename[0]) < 0) {
        return print_error();
    }
    status = check_files(files, catalog);
    pps_catalog_free(catalog);
    return status;
}

int
pps_cli_note_check(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_file *in_force =
        arg_file0(NULL, "in-force", "CATALOG",
                  "catalog to check against, from 'papayaswitch catalog'");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "notes to check");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void *table[] = {help, in_force, files, end};
    int status =
        pps_cli_parse(argc, argv, table, help, end,
                      "Prints all findings of release notes. Exit code 0: "
                      "none; 1: findings; 2: usage or an unreadable file.");

    if (status < 0) {
        status = run(files, in_force);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
