/** @file region_map.c @brief Reads the regions of failure domains. */
#include "region_map.h"

#include "papayaswitch/errors.h"

#include <string.h>

#define BLANKS " \t"

static int
copy_part(char *out, const char *text, size_t size)
{
    if (size == 0 || size >= PPS_REGION_TEXT_BYTES) {
        return PPS_EINVALID;
    }
    memcpy(out, text, size);
    out[size] = '\0';
    return PPS_OK;
}

/* Adds an entry "DOMAIN:REGION" of this size. */
static int
add_entry(pps_region_map_t *map, const char *text, size_t size)
{
    pps_region_entry_t entry;
    const char *colon = memchr(text, ':', size);
    size_t domain_size = colon != NULL ? (size_t)(colon - text) : 0;

    if (colon == NULL ||
        copy_part(entry.failure_domain, text, domain_size) != 0 ||
        copy_part(entry.region, colon + 1, size - domain_size - 1) != 0 ||
        pps_region_map_find(map, entry.failure_domain)[0] != '\0') {
        return PPS_EINVALID;
    }
    if (map->count == PPS_REGION_MAP_MAX) {
        return PPS_ELIMIT;
    }
    map->entries[map->count++] = entry;
    return PPS_OK;
}

int
pps_region_map_parse(pps_region_map_t *out, const char *text)
{
    int error = PPS_OK;

    out->count = 0;
    text += strspn(text, BLANKS);
    while (error == 0 && *text != '\0') {
        size_t size = strcspn(text, ",");
        size_t used = size;

        while (used > 0 && strchr(BLANKS, text[used - 1]) != NULL) {
            used--;
        }
        error = add_entry(out, text, used);
        text += size;
        text += *text == ',';
        text += strspn(text, BLANKS);
    }
    return error;
}

const char *
pps_region_map_find(const pps_region_map_t *map, const char *failure_domain)
{
    for (size_t i = 0; i < map->count; i++) {
        if (strcmp(map->entries[i].failure_domain, failure_domain) == 0) {
            return map->entries[i].region;
        }
    }
    return "";
}
