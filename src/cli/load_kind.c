/** @file load_kind.c @brief Table of the kinds of requests. */
#include "load_kind.h"

#include <string.h>

const load_kind_t load_kinds[LOAD_KIND_COUNT] = {
    {"captions", LOAD_TARGET_MODEL, 24, 0, 128},
    {"footnotes", LOAD_TARGET_MODEL, 64, 1, 512},
    {"commentary", LOAD_TARGET_MODEL, 128, 1, 2048},
    {"lookups", LOAD_TARGET_LOOKUP, 0, 0, 0},
    {"releases", LOAD_TARGET_RELEASE, 0, 0, 0},
};

int
load_kind_find(const char *name, size_t length)
{
    for (int i = 0; i < LOAD_KIND_COUNT; i++) {
        if (strlen(load_kinds[i].name) == length &&
            strncmp(load_kinds[i].name, name, length) == 0) {
            return i;
        }
    }
    return -1;
}
