/** @file name.c @brief Checks the names of objects. */
#include "catalog/name.h"

#include "papayaswitch/catalog.h"

#include <string.h>

#define PLAIN_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"
#define PATH_BYTES_MAX 200

static int
is_plain(const char *text, size_t size)
{
    return size > 0 && strspn(text, PLAIN_CHARACTERS) >= size;
}

int
pps_name_is_plain(const char *text)
{
    size_t size = strlen(text);

    return size <= PPS_NAME_MAX && is_plain(text, size);
}

int
pps_name_is_version(const char *text)
{
    const char *slash = strchr(text, '/');

    return slash != NULL && strlen(text) <= PPS_NAME_MAX &&
           is_plain(text, (size_t)(slash - text)) &&
           is_plain(slash + 1, strlen(slash + 1));
}

int
pps_name_is_path(const char *text)
{
    if (text[0] != '/' || strlen(text) > PATH_BYTES_MAX) {
        return 0;
    }
    for (; *text != '\0'; text++) {
        if (*text <= ' ' || *text > '~' || *text == ',') {
            return 0;
        }
    }
    return 1;
}
