/** @file name_list.c @brief Sorted lists of distinct names. */
#include "catalog/name_list.h"

#include "papayaswitch/errors.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Returns the index of the name, or the index at which to insert it. */
static size_t
find_position(const pps_name_list_t *list, const char *name, int *found)
{
    size_t low = 0;
    size_t high = list->count;

    *found = 0;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = strcmp(list->items[middle], name);

        if (order == 0) {
            *found = 1;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

int
pps_name_list_add(pps_name_list_t *list, const char *name, size_t size)
{
    char *copy = strndup(name, size);
    char **items;
    size_t position;
    int found;

    if (copy == NULL) {
        return pps_error_set(PPS_ENOMEM, "name list: out of memory");
    }
    position = find_position(list, copy, &found);
    if (found) {
        free(copy);
        return PPS_OK;
    }
    items = realloc(list->items, (list->count + 1) * sizeof(*items));
    if (items == NULL) {
        free(copy);
        return pps_error_set(PPS_ENOMEM, "name list: out of memory");
    }
    memmove(items + position + 1, items + position,
            (list->count - position) * sizeof(*items));
    items[position] = copy;
    list->items = items;
    list->count++;
    return PPS_OK;
}

int
pps_name_list_remove(pps_name_list_t *list, const char *name)
{
    int found;
    size_t position = find_position(list, name, &found);

    if (!found) {
        return PPS_ENOTFOUND;
    }
    free(list->items[position]);
    list->count--;
    memmove(list->items + position, list->items + position + 1,
            (list->count - position) * sizeof(*list->items));
    return PPS_OK;
}

int
pps_name_list_contains(const pps_name_list_t *list, const char *name)
{
    int found;

    find_position(list, name, &found);
    return found;
}

int
pps_name_list_merge(pps_name_list_t *list, const pps_name_list_t *other)
{
    int error = PPS_OK;

    for (size_t i = 0; i < other->count && error == PPS_OK; i++) {
        error =
            pps_name_list_add(list, other->items[i], strlen(other->items[i]));
    }
    return error;
}

int
pps_name_list_equal(const pps_name_list_t *a, const pps_name_list_t *b)
{
    if (a->count != b->count) {
        return 0;
    }
    for (size_t i = 0; i < a->count; i++) {
        if (strcmp(a->items[i], b->items[i]) != 0) {
            return 0;
        }
    }
    return 1;
}

void
pps_name_list_clear(pps_name_list_t *list)
{
    for (size_t i = 0; i < list->count; i++) {
        free(list->items[i]);
    }
    free(list->items);
    *list = (pps_name_list_t){NULL, 0};
}

int
pps_comma_list_foreach(const char *text,
                       int (*on_item)(const char *item, size_t size,
                                      void *user),
                       void *user)
{
    int error = PPS_OK;

    while (error == PPS_OK) {
        const char *comma = strchrnul(text, ',');
        const char *end = comma;

        while (text < end && isspace((unsigned char)*text)) {
            text++;
        }
        while (text < end && isspace((unsigned char)end[-1])) {
            end--;
        }
        error = on_item(text, (size_t)(end - text), user);
        if (*comma == '\0') {
            break;
        }
        text = comma + 1;
    }
    return error;
}
