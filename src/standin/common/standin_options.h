/**
 * @file standin_options.h
 * @brief Parses the command line of a stand-in by a table of options.
 */
#ifndef STANDIN_OPTIONS_H
#define STANDIN_OPTIONS_H

#include <stddef.h>

/** Type of an option's value. */
typedef enum {
    STANDIN_OPTION_TEXT, /**< `const char *` */
    STANDIN_OPTION_INT,  /**< `int` */
    STANDIN_OPTION_FLAG, /**< `int`, 1 if the option is given */
} standin_option_kind_t;

/** One option. */
typedef struct {
    const char *name; /**< long name without dashes */
    standin_option_kind_t kind;
    void *value; /**< target; holds the default before the parsing */
    const char *help;
} standin_option_t;

/** Maximum number of options of one program. */
#define STANDIN_OPTIONS_MAX 24

/**
 * Parses the command line into the options' values; strings point into argv.
 * Prints the usage to standard error when the command line is malformed.
 * @return 0; PPS_EINVALID; PPS_ELIMIT; PPS_ENOMEM
 */
int
standin_options_parse(const standin_option_t *options, size_t count, int argc,
                      char **argv);

#endif
