/** @file port_file.c @brief Writes the port file atomically. */
#include "port_file.h"

#include "papayaswitch/errors.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define PATH_BYTES (PPS_SETTING_TEXT_BYTES + 8)

int
pps_port_file_write(const char *path, const pps_router_ports_t *ports)
{
    char temporary[PATH_BYTES];
    FILE *file;
    int failed;

    snprintf(temporary, sizeof(temporary), "%s.new", path);
    file = fopen(temporary, "w");
    if (file == NULL) {
        return pps_error_set(PPS_EIO, "%s: %s", temporary, strerror(errno));
    }
    fprintf(file, "{\"http\":%u,\"operator\":%u,\"peer\":%u}\n", ports->http,
            ports->operator_port, ports->peer);
    failed = fclose(file) != 0 || rename(temporary, path) != 0;
    return failed ? pps_error_set(PPS_EIO, "%s: %s", path, strerror(errno))
                  : PPS_OK;
}
