/**
 * @file version_set.h
 * @brief Set of the versions that an engine has loaded.
 */
#ifndef STANDIN_VERSION_SET_H
#define STANDIN_VERSION_SET_H

#include <jansson.h>
#include <stddef.h>

/** Maximum number of loaded versions. */
#define VERSION_SET_MAX 32

/** Maximum size of a version name in bytes, the NUL included. */
#define VERSION_NAME_BYTES 64

/** Loaded versions, unordered. Not thread-safe. */
typedef struct {
    char names[VERSION_SET_MAX][VERSION_NAME_BYTES];
    size_t count;
} version_set_t;

/** Fills the set from a comma-separated list. */
int
version_set_init(version_set_t *set, const char *list);

int
version_set_has(const version_set_t *set, const char *name);

/** Adds a version unless it is in the set. @return 0 or PPS_ELIMIT */
int
version_set_add(version_set_t *set, const char *name);

/** Removes a version if it is in the set. */
void
version_set_remove(version_set_t *set, const char *name);

json_t *
version_set_json(const version_set_t *set);

#endif
