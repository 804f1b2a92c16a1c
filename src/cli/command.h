/**
 * @file command.h
 * @brief The commands of `papayaswitch` and their shared functions.
 */
#ifndef PPS_CLI_COMMAND_H
#define PPS_CLI_COMMAND_H

#include "papayaswitch/host.h"

#include <argtable2.h>
#include <jansson.h>

/** Exit codes of all commands. */
enum {
    PPS_EXIT_OK = 0,
    PPS_EXIT_FINDINGS = 1, /**< findings, a rejection or a failure */
    PPS_EXIT_USAGE = 2,
};

/** Each runs a command; argv[0] is its name. @return an exit code */
int
pps_cli_note_check(int argc, char **argv);
int
pps_cli_note_diff(int argc, char **argv);
int
pps_cli_bills(int argc, char **argv);
int
pps_cli_catalog(int argc, char **argv);
int
pps_cli_note_publish(int argc, char **argv);
int
pps_cli_note_status(int argc, char **argv);
int
pps_cli_key_hash(int argc, char **argv);
int
pps_cli_settings_check(int argc, char **argv);
int
pps_cli_status(int argc, char **argv);
int
pps_cli_counters(int argc, char **argv);
int
pps_cli_timeline(int argc, char **argv);

/**
 * Parses the arguments and prints the help or the errors.
 * @param description first paragraph of the help
 * @return -1 if the command is to run, else the exit code
 */
int
pps_cli_parse(int argc, char **argv, void **table, struct arg_lit *help,
              struct arg_end *end, const char *description);

/** Sends a GET request. @return the JSON response, or NULL with the last error
 * set */
json_t *
pps_cli_get_json(const char *url);

/** Sends a GET request. @return the body, which the caller frees, or NULL with
 * the last error set */
char *
pps_cli_get_text(const char *url);

/** Reads the list of entry hosts from the platform. @return 0 or an error */
int
pps_cli_get_hosts(pps_host_list_t *out, const char *platform);

/** Calls pps_cli_get_json() for `path` at the operator port of a host. */
json_t *
pps_cli_get_from_host(const pps_host_t *host, const char *path);

/** Prints indented JSON to standard output. */
void
pps_cli_print_json(const json_t *value);

#endif
