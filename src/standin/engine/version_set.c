/** @file version_set.c @brief Unsorted array of version names. */
#include "version_set.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <string.h>

/* Returns the index of a name, or `set->count` if it is not in the set. */
static size_t
find(const version_set_t *set, const char *name)
{
    size_t index = 0;

    while (index < set->count && strcmp(set->names[index], name) != 0) {
        index++;
    }
    return index;
}

int
version_set_has(const version_set_t *set, const char *name)
{
    return find(set, name) < set->count;
}

int
version_set_add(version_set_t *set, const char *name)
{
    if (version_set_has(set, name)) {
        return PPS_OK;
    }
    if (set->count == VERSION_SET_MAX || strlen(name) >= VERSION_NAME_BYTES) {
        return pps_error_set(
            PPS_ELIMIT,
            "version '%s': the set is full, or the name is too long", name);
    }
    snprintf(set->names[set->count], VERSION_NAME_BYTES, "%s", name);
    set->count++;
    return PPS_OK;
}

void
version_set_remove(version_set_t *set, const char *name)
{
    size_t index = find(set, name);

    if (index < set->count) {
        set->count--;
        memmove(set->names[index], set->names[set->count], VERSION_NAME_BYTES);
    }
}

int
version_set_init(version_set_t *set, const char *list)
{
    int error = PPS_OK;

    set->count = 0;
    while (*list != '\0' && error == 0) {
        char name[VERSION_NAME_BYTES];
        size_t length = strcspn(list, ",");

        snprintf(name, sizeof(name), "%.*s", (int)length, list);
        error = version_set_add(set, name);
        list += length + (list[length] == ',');
    }
    return error;
}

json_t *
version_set_json(const version_set_t *set)
{
    json_t *list = json_array();

    for (size_t i = 0; i < set->count; i++) {
        json_array_append_new(list, json_string(set->names[i]));
    }
    return list;
}
