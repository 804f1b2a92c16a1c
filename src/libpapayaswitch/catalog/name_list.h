/**
 * @file name_list.h
 * @brief Sorted lists of distinct names.
 */
#ifndef PPS_CATALOG_NAME_LIST_H
#define PPS_CATALOG_NAME_LIST_H

#include <stddef.h>

/** A sorted list of distinct names; zero-initialised, it is empty. */
typedef struct {
    char **items;
    size_t count;
} pps_name_list_t;

/** Adds a copy of `size` bytes unless the list contains it. @return 0 or
 * PPS_ENOMEM */
int
pps_name_list_add(pps_name_list_t *list, const char *name, size_t size);

/** Removes a name. @return 0 or PPS_ENOTFOUND */
int
pps_name_list_remove(pps_name_list_t *list, const char *name);

/** Returns whether the list contains the name. */
int
pps_name_list_contains(const pps_name_list_t *list, const char *name);

/** Adds copies of all names of another list. @return 0 or PPS_ENOMEM */
int
pps_name_list_merge(pps_name_list_t *list, const pps_name_list_t *other);

/** Returns whether two lists contain the same names. */
int
pps_name_list_equal(const pps_name_list_t *a, const pps_name_list_t *b);

/** Frees the names and empties the list. */
void
pps_name_list_clear(pps_name_list_t *list);

/**
 * Calls `on_item` for each item of a comma-separated list, without the white
 * space around it; items may be empty and are not NUL-terminated.
 * @return 0, or the first non-zero return of `on_item`
 */
int
pps_comma_list_foreach(const char *text,
                       int (*on_item)(const char *item, size_t size,
                                      void *user),
                       void *user);

#endif
