/**
 * @file load_options.h
 * @brief Command line of `papayaswitch load`.
 */
#ifndef PPS_CLI_LOAD_OPTIONS_H
#define PPS_CLI_LOAD_OPTIONS_H

#include "load_kind.h"

#include <stdint.h>

#define LOAD_ENTRIES_MAX 16
#define LOAD_WORKSPACES_MAX 32
#define LOAD_RATE_MAX 5000.0 /* requests per second */
#define LOAD_SECONDS_MAX 3600.0
#define LOAD_THREADS_MAX 512
#define LOAD_SESSIONS_MAX 10000

/** Workspace and its bearer key. */
typedef struct {
    char name[64];
    char key[128];
} load_workspace_t;

/** Options of the command line. */
typedef struct {
    char entries[LOAD_ENTRIES_MAX][64]; /**< `ADDRESS:PORT` */
    size_t entry_count;
    load_workspace_t workspaces[LOAD_WORKSPACES_MAX];
    size_t workspace_count;
    int weights[LOAD_KIND_COUNT]; /**< share of each kind */
    int weight_sum;
    double rate; /**< requests per second */
    double seconds;
    uint64_t seed;
    int sessions; /**< total over all workspaces; 0: none */
    int threads;
    int timeout_s; /**< of one attempt */
    int verify;    /**< whether to compare texts with the stand-in's */
    char model[64];
    char service[64];
    char run_id[32]; /**< prefix of all request ids */
    char json[1024]; /**< path of the report; "": standard output */
} load_options_t;

/** Parses the command line. @return -1 to run, or the exit code */
int
load_options_parse(load_options_t *options, int argc, char **argv);

#endif
