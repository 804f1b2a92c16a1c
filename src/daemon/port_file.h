/**
 * @file port_file.h
 * @brief Tells whoever started the daemon which ports it took.
 */
#ifndef PPS_DAEMON_PORT_FILE_H
#define PPS_DAEMON_PORT_FILE_H

#include "papayaswitch/router.h"

/**
 * Writes `{"http":N,"operator":N,"peer":N}`; the file appears whole.
 * @return 0 or PPS_EIO
 */
int
pps_port_file_write(const char *path, const pps_router_ports_t *ports);

#endif
