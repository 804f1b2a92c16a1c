/**
 * @file value.h
 * @brief Typed values of an object's attributes.
 */
#ifndef PPS_CATALOG_VALUE_H
#define PPS_CATALOG_VALUE_H

#include "buf.h"
#include "catalog/attribute.h"
#include "catalog/name_list.h"

/** A value; the attribute's type determines which member is used. */
typedef struct {
    char *name;
    int enum_index;
    double real;
    int64_t integer;
    unsigned char hash[PPS_KEY_HASH_BYTES];
    pps_name_list_t list;
} pps_value_t;

/**
 * Parses a text and adds a finding for each error.
 * @return 0; PPS_EINVALID with a finding; PPS_ENOMEM
 */
int
pps_value_parse(pps_value_t *out, const pps_attribute_t *attribute,
                const char *text, const char *file, int line,
                pps_findings_t *findings);

/** Frees what a value owns and zeroes it. */
void
pps_value_clear(pps_value_t *value);

/** Returns whether a number is in the attribute's range. */
int
pps_value_in_range(const pps_attribute_t *attribute, double number);

/** Returns the index of an enum name, or -1. */
int
pps_value_find_enum(const pps_attribute_t *attribute, const char *name);

/** Reads a field of an object, which still owns what the value points to. */
void
pps_value_load(pps_value_t *out, const pps_attribute_t *attribute,
               const void *fields);

/** Replaces a field of an object by a copy. @return 0 or PPS_ENOMEM */
int
pps_value_store(void *fields, const pps_attribute_t *attribute,
                const pps_value_t *value);

/** Frees what a field of an object owns and zeroes it. */
void
pps_value_release(void *fields, const pps_attribute_t *attribute);

/** Returns whether two values are equal. */
int
pps_value_equal(const pps_attribute_t *attribute, const pps_value_t *a,
                const pps_value_t *b);

/** Appends a value in the syntax of a note. @return 0 or PPS_ENOMEM */
int
pps_value_print(pps_buf_t *out, const pps_attribute_t *attribute,
                const pps_value_t *value);

#endif
