/**
 * @file command.h
 * @brief The commands of `papayaswitch`, and what they share.
 */
#ifndef PPS_CLI_COMMAND_H
#define PPS_CLI_COMMAND_H

#include "papayaswitch/host.h"

#include <argtable2.h>
#include <jansson.h>

/** Exit codes of all commands. */
enum {
    PPS_EXIT_OK = 0,
    PPS_EXIT_FINDINGS = 1, /**< findings, a rejection, or a failure */
    PPS_EXIT_USAGE = 2,
};

/** Commands; each takes its own name as the first argument. */
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
 * Parses arguments; prints help or what is wrong.
 * @return -1 to go on, or the exit code
 */
int
pps_cli_parse(int argc, char **argv, void **table, struct arg_lit *help,
              struct arg_end *end, const char *what);

/** GETs JSON. @return the value, or NULL with the last error set */
json_t *
pps_cli_get(const char *url);

/** GETs a text. The caller frees it. */
char *
pps_cli_get_text(const char *url);

/** Reads the platform's list of entry hosts. */
int
pps_cli_hosts(pps_host_list_t *out, const char *platform);

/** GETs `path` from a host's operator port. */
json_t *
pps_cli_ask(const pps_host_t *host, const char *path);

/** Prints JSON on standard output, indented. */
void
pps_cli_print_json(const json_t *value);

#endif
