/**
 * @file standin_options.h
 * @brief Command line of a stand-in, described by a table.
 */
#ifndef STANDIN_OPTIONS_H
#define STANDIN_OPTIONS_H

#include <stddef.h>

/** Type of an option's value. */
typedef enum {
    STANDIN_OPTION_TEXT, /**< `const char *` */
    STANDIN_OPTION_INT,  /**< `int` */
    STANDIN_OPTION_FLAG, /**< `int`, set to 1 */
} standin_option_kind_t;

/** One option; `value` holds the default until the line is parsed. */
typedef struct {
    const char *name; /**< long name without dashes */
    standin_option_kind_t kind;
    void *value;
    const char *help;
} standin_option_t;

/** Most options of one program. */
#define STANDIN_OPTIONS_MAX 24

/**
 * Parses the command line into the options' values. Texts point into argv.
 * @return 0; PPS_EINVALID after the usage went to standard error
 */
int
standin_options_parse(const standin_option_t *options, size_t count, int argc,
                      char **argv);

#endif
