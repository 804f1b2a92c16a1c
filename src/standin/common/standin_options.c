/** @file standin_options.c @brief Parses command lines by argtable2. */
#include "standin_options.h"

#include "papayaswitch/errors.h"

#include <argtable2.h>
#include <stdio.h>

#define ERRORS_SHOWN_MAX 8

static void *
make_entry(const standin_option_t *option)
{
    switch (option->kind) {
    case STANDIN_OPTION_INT:
        return arg_int0(NULL, option->name, "<n>", option->help);
    case STANDIN_OPTION_FLAG:
        return arg_lit0(NULL, option->name, option->help);
    default:
        return arg_str0(NULL, option->name, "<text>", option->help);
    }
}

static void
store_value(const standin_option_t *option, void *entry)
{
    if (option->kind == STANDIN_OPTION_INT) {
        struct arg_int *number = entry;

        if (number->count > 0) {
            *(int *)option->value = number->ival[0];
        }
    }
    else if (option->kind == STANDIN_OPTION_FLAG) {
        *(int *)option->value = ((struct arg_lit *)entry)->count > 0;
    }
    else {
        struct arg_str *text = entry;

        if (text->count > 0) {
            *(const char **)option->value = text->sval[0];
        }
    }
}

int
standin_options_parse(const standin_option_t *options, size_t count, int argc,
                      char **argv)
{
    void *arg_table[STANDIN_OPTIONS_MAX + 1];
    struct arg_end *end;
    int error = PPS_OK;

    if (count > STANDIN_OPTIONS_MAX) {
        return pps_error_set(PPS_ELIMIT,
                             "command line: too many options in the table");
    }
    end = arg_end(ERRORS_SHOWN_MAX);
    for (size_t i = 0; i < count; i++) {
        arg_table[i] = make_entry(&options[i]);
    }
    arg_table[count] = end;
    if (arg_nullcheck(arg_table) != 0) {
        error = pps_error_set(PPS_ENOMEM, "options: out of memory");
        goto done;
    }
    if (arg_parse(argc, argv, arg_table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        fputs("options:\n", stderr);
        arg_print_glossary(stderr, arg_table, "  %-28s %s\n");
        error = pps_error_set(PPS_EINVALID, "malformed command line");
        goto done;
    }
    for (size_t i = 0; i < count; i++) {
        store_value(&options[i], arg_table[i]);
    }
done:
    arg_freetable(arg_table, count + 1);
    return error;
}
