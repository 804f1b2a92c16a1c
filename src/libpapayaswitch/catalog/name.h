/**
 * @file name.h
 * @brief Rules for the names of objects.
 */
#ifndef PPS_CATALOG_NAME_H
#define PPS_CATALOG_NAME_H

/** Whether `text` is 1 to PPS_NAME_MAX characters of `[a-z0-9._-]`. */
int
pps_name_is_plain(const char *text);

/** Whether `text` is `MODEL/NAME`, PPS_NAME_MAX characters at most. */
int
pps_name_is_version(const char *text);

/** Whether `text` can be a prefix of a URL path: `/` and visible ASCII. */
int
pps_name_is_path(const char *text);

#endif
