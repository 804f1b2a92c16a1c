/**
 * @file port_file.h
 * @brief Writes the daemon's ports for the process that started it.
 */
#ifndef PPS_DAEMON_PORT_FILE_H
#define PPS_DAEMON_PORT_FILE_H

#include "papayaswitch/router.h"

/**
 * Writes `{"http":N,"operator":N,"peer":N}` to a temporary file and renames
 * it, so that no reader sees a partial file.
 * @return 0 or PPS_EIO
 */
int
pps_port_file_write(const char *path, const pps_router_ports_t *ports);

#endif
