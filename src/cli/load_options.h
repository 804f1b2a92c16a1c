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
#define LOAD_RATE_MAX 5000.0 /* requests a second */
#define LOAD_SECONDS_MAX 3600.0
#define LOAD_THREADS_MAX 512
#define LOAD_SESSIONS_MAX 10000

/** A caller's workspace. */
typedef struct {
    char name[64];
    char key[128];
} load_workspace_t;

/** What the command line sets. */
typedef struct {
    char entries[LOAD_ENTRIES_MAX][64]; /**< `ADDRESS:PORT` */
    size_t entry_count;
    load_workspace_t workspaces[LOAD_WORKSPACES_MAX];
    size_t workspace_count;
    int weights[LOAD_KIND_COUNT];
    int weight_sum;
    double rate; /**< requests a second */
    double seconds;
    uint64_t seed;
    int sessions; /**< sessions of all workspaces together; 0: none */
    int threads;
    int timeout_s; /**< of one attempt */
    int verify;    /**< compare texts with what the version must generate */
    char model[64];
    char service[64];
    char run_id[32]; /**< first part of all request ids */
    char json[1024]; /**< file of the account, or "" */
} load_options_t;

/** Parses the command line. @return -1 to go on, or the exit code */
int
load_options_parse(load_options_t *options, int argc, char **argv);

#endif
