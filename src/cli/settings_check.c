/** @file settings_check.c @brief `settings check`: checks a settings file. */
#include "command.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/findings.h"
#include "papayaswitch/settings.h"

#include <stdio.h>

static int
check_file(const char *path)
{
    pps_settings_t settings;
    pps_findings_t *findings;
    int error = pps_findings_new(&findings);

    if (error < 0) {
        return PPS_EXIT_FINDINGS;
    }
    error = pps_settings_load(&settings, path, findings);
    pps_findings_sort(findings);
    pps_findings_print(findings, stdout);
    pps_findings_free(findings);
    return error < 0 ? PPS_EXIT_FINDINGS : PPS_EXIT_OK;
}

int
pps_cli_settings_check(int argc, char **argv)
{
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "settings file (INI)");
    struct arg_lit *help = arg_lit0("h", "help", "show this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {file, help, end};
    int status = pps_cli_parse(argc, argv, table, help, end,
                               "Prints all findings as FILE:LINE: message.");

    if (status < 0) {
        status = check_file(file->filename[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
