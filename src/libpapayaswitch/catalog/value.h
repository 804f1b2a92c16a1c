/**
 * @file value.h
 * @brief Typed values of attributes.
 */
#ifndef PPS_CATALOG_VALUE_H
#define PPS_CATALOG_VALUE_H

#include "buf.h"
#include "catalog/attribute.h"
#include "catalog/name_list.h"

/** A value; which member counts follows from the attribute's type. */
typedef struct {
    char *name;
    int word;
    double real;
    int64_t integer;
    unsigned char hash[PPS_KEY_HASH_BYTES];
    pps_name_list_t list;
} pps_value_t;

/**
 * Parses a text; all that is wrong becomes findings.
 * @return 0; PPS_EINVALID with a finding; PPS_ENOMEM
 */
int
pps_value_parse(pps_value_t *out, const pps_attribute_t *attribute,
                const char *text, const char *file, int line,
                pps_findings_t *findings);

/** Frees what a value owns. */
void
pps_value_clear(pps_value_t *value);

/** Whether a number is in the attribute's range. */
int
pps_value_in_range(const pps_attribute_t *attribute, double number);

/** Index of a word, or -1. */
int
pps_value_find_word(const pps_attribute_t *attribute, const char *word);

/** Reads a field of an object; the object keeps what the value points to. */
void
pps_value_load(pps_value_t *out, const pps_attribute_t *attribute,
               const void *fields);

/** Replaces a field of an object by a copy of the value. */
int
pps_value_store(void *fields, const pps_attribute_t *attribute,
                const pps_value_t *value);

/** Frees a field of an object. */
void
pps_value_release(void *fields, const pps_attribute_t *attribute);

/** Whether two values are the same. */
int
pps_value_equal(const pps_attribute_t *attribute, const pps_value_t *a,
                const pps_value_t *b);

/** Writes a value as a note would state it. */
int
pps_value_print(pps_buf_t *out, const pps_attribute_t *attribute,
                const pps_value_t *value);

#endif
