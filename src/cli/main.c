/** @file main.c @brief papayaswitch: the operators' command. */
#include "command.h"
#include "load.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define WORDS_MAX 2

/** A command and how it is called. */
typedef struct {
    const char *words[WORDS_MAX];
    int (*run)(int argc, char **argv);
    const char *what;
} command_t;

static const command_t commands[] = {
    {{"note", "check"}, pps_cli_note_check, "print every finding of a note"},
    {{"note", "diff"}, pps_cli_note_diff, "what a note would change"},
    {{"note", "publish"}, pps_cli_note_publish, "publish a release note"},
    {{"note", "status"}, pps_cli_note_status, "what became of a note"},
    {{"bills"}, pps_cli_bills, "sums of the bills per workspace"},
    {{"catalog"}, pps_cli_catalog, "what is in force, as JSON"},
    {{"key", "hash"}, pps_cli_key_hash, "hash of a bearer key for a note"},
    {{"settings", "check"}, pps_cli_settings_check, "check a settings file"},
    {{"status"}, pps_cli_status, "the state of all hosts"},
    {{"counters"}, pps_cli_counters, "the counters of all hosts"},
    {{"load"}, pps_cli_load, "send a bounded load and account for it"},
    {{"timeline"}, pps_cli_timeline, "events of all hosts in one order"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_help(FILE *stream)
{
    fputs("papayaswitch: drives a fleet of routers by release notes\n\n"
          "Usage: papayaswitch COMMAND [ARGUMENTS]\n\n",
          stream);
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        char name[32];

        snprintf(name, sizeof(name), "%s %s", commands[i].words[0],
                 commands[i].words[1] ? commands[i].words[1] : "");
        fprintf(stream, "  %-18s %s\n", name, commands[i].what);
    }
    fputs("\n'papayaswitch COMMAND --help' tells a command's arguments.\n",
          stream);
}

static int
word_count(const command_t *command)
{
    return command->words[1] != NULL ? 2 : 1;
}

static const command_t *
find(int argc, char **argv)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        int words = word_count(&commands[i]);

        if (argc > words && strcmp(argv[1], commands[i].words[0]) == 0 &&
            (words == 1 || strcmp(argv[2], commands[i].words[1]) == 0)) {
            return &commands[i];
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    const command_t *command = find(argc, argv);
    char name[32];

    if (argc > 1 &&
        (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
        print_help(stdout);
        return PPS_EXIT_OK;
    }
    if (command == NULL) {
        print_help(stderr);
        return PPS_EXIT_USAGE;
    }
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0) {
        fputs("papayaswitch: a library does not start\n", stderr);
        return PPS_EXIT_FINDINGS;
    }
    snprintf(name, sizeof(name), "%s%s%s", command->words[0],
             command->words[1] ? " " : "",
             command->words[1] ? command->words[1] : "");
    argc -= word_count(command);
    argv += word_count(command);
    argv[0] = name;
    return command->run(argc, argv);
}
