/** @file soak_missed.c @brief Checks that no host has missed a record. */
#include "soak_missed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENT "\"event\":\"record_missed\""

static void
check_log(soak_t *soak, int index)
{
    char path[160];
    char *line = NULL;
    size_t size = 0;
    FILE *log;

    snprintf(path, sizeof(path), "%s/host%d.log", soak->folder, index);
    log = fopen(path, "r");
    while (log != NULL && getline(&line, &size, log) >= 0) {
        if (strstr(line, EVENT) != NULL) {
            soak_report_violation(soak, "a host had missed a record", path);
        }
    }
    free(line);
    if (log != NULL) {
        fclose(log);
    }
}

void
missed_check(soak_t *soak)
{
    if (soak->program_before != NULL) {
        return;
    }
    for (int i = 0; i < soak->host_count; i++) {
        check_log(soak, i);
    }
}
