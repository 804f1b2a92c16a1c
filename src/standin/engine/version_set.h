/**
 * @file version_set.h
 * @brief The versions that an engine has loaded.
 */
#ifndef STANDIN_VERSION_SET_H
#define STANDIN_VERSION_SET_H

#include <jansson.h>
#include <stddef.h>

/** Most versions loaded at once. */
#define VERSION_SET_MAX 32

/** Longest name of a version, its end included. */
#define VERSION_NAME_BYTES 64

/** Loaded versions in no order. Not locked. */
typedef struct {
    char names[VERSION_SET_MAX][VERSION_NAME_BYTES];
    size_t count;
} version_set_t;

/** Starts with a comma-separated list. */
int
version_set_init(version_set_t *set, const char *list);

int
version_set_has(const version_set_t *set, const char *name);

/** Adds a version; harmless when it is there. @return 0 or PPS_ELIMIT */
int
version_set_add(version_set_t *set, const char *name);

/** Removes a version; harmless when it is not there. */
void
version_set_remove(version_set_t *set, const char *name);

json_t *
version_set_json(const version_set_t *set);

#endif
