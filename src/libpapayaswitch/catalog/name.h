/**
 * @file name.h
 * @brief Checks the names of objects.
 */
#ifndef PPS_CATALOG_NAME_H
#define PPS_CATALOG_NAME_H

/** Returns whether `text` is 1 to PPS_NAME_MAX characters of `[a-z0-9._-]`. */
int
pps_name_is_plain(const char *text);

/** Returns whether `text` is `MODEL/NAME` in up to PPS_NAME_MAX characters. */
int
pps_name_is_version(const char *text);

/** Returns whether `text` is a path prefix: `/`, visible ASCII, no comma. */
int
pps_name_is_path(const char *text);

#endif
