/** @file main.c @brief papayaswitch: command-line tool for operators. */
#include "command.h"
#include "load.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define WORDS_MAX 2

/** Command with its name and help text. */
typedef struct {
    const char *words[WORDS_MAX];
    int (*run)(int argc, char **argv);
    const char *summary;
} command_t;

static const command_t commands[] = {
    {{"note", "check"}, pps_cli_note_check, "print all findings of a note"},
    {{"note", "diff"}, pps_cli_note_diff, "show the changes of a note"},
    {{"note", "publish"}, pps_cli_note_publish, "publish a release note"},
    {{"note", "status"},
     pps_cli_note_status,
     "show the publish stage of a note"},
    {{"bills"}, pps_cli_bills, "sum the bills of each workspace"},
    {{"catalog"}, pps_cli_catalog, "print the catalog in force as JSON"},
    {{"key", "hash"}, pps_cli_key_hash, "hash a bearer key for a note"},
    {{"settings", "check"}, pps_cli_settings_check, "check a settings file"},
    {{"status"}, pps_cli_status, "show the state of all hosts"},
    {{"counters"}, pps_cli_counters, "show the sums of all hosts' counters"},
    {{"load"}, pps_cli_load, "send requests at a rate and report the results"},
    {{"timeline"}, pps_cli_timeline, "merge the events of all hosts by time"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_help(FILE *stream)
{
    fputs("papayaswitch: operates a router fleet with release notes\n\n"
          "Usage: papayaswitch COMMAND [ARGUMENTS]\n\n",
          stream);
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        char name[32];

        snprintf(name, sizeof(name), "%s %s", commands[i].words[0],
                 commands[i].words[1] ? commands[i].words[1] : "");
        fprintf(stream, "  %-18s %s\n", name, commands[i].summary);
    }
    fputs("\n'papayaswitch COMMAND --help' lists a command's arguments.\n",
          stream);
}

static int
word_count(const command_t *command)
{
    return command->words[1] != NULL ? 2 : 1;
}

static const command_t *
find_command(int argc, char **argv)
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
    const command_t *command = find_command(argc, argv);
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
        fputs("papayaswitch: libsodium or curl failed\n", stderr);
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
