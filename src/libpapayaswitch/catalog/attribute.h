/**
 * @file attribute.h
 * @brief The keys of each kind of object, as tables.
 *
 * Note parsing, applying, diffs, JSON and checkpoints all go by these tables.
 */
#ifndef PPS_CATALOG_ATTRIBUTE_H
#define PPS_CATALOG_ATTRIBUTE_H

#include "papayaswitch/catalog.h"

/** Kinds of object, in the order in which they are written. */
typedef enum {
    PPS_OBJECT_UPSTREAM,
    PPS_OBJECT_VERSION,
    PPS_OBJECT_WORKSPACE,
    PPS_OBJECT_KIND_COUNT,
} pps_object_kind_t;

/** Types of value. */
typedef enum {
    PPS_VALUE_NAME,    /**< one name, `const char *` */
    PPS_VALUE_WORD,    /**< one of some words, an int-sized index */
    PPS_VALUE_REAL,    /**< double */
    PPS_VALUE_INTEGER, /**< int64_t */
    PPS_VALUE_HASH,    /**< PPS_KEY_HASH_BYTES bytes */
    PPS_VALUE_LIST,    /**< names, pointer and count side by side */
} pps_value_type_t;

/** One key of a kind of object. */
typedef struct {
    const char *key;
    pps_value_type_t type;
    size_t offset;            /**< of the field in the public type */
    const char *fallback;     /**< value of a new object; NULL: required */
    const char *const *words; /**< WORD: ends in NULL */
    double least;             /**< REAL, INTEGER: range */
    double most;
    int above_least;               /**< `least` itself is out of range */
    int (*is_item)(const char *);  /**< NAME, LIST: form of a name */
    const char *item_form;         /**< the form in words */
    int refers;                    /**< names are those of objects */
    pps_object_kind_t target_kind; /**< of such objects */
    int target_word;               /**< UPSTREAM target: required kind */
} pps_attribute_t;

/** A kind of object. */
typedef struct {
    const char *word;   /**< the section's first word */
    const char *plural; /**< name of its table in JSON */
    int (*is_name)(const char *);
    const char *name_form;
    const pps_attribute_t *attributes;
    size_t attribute_count;
} pps_schema_t;

/** The schema of a kind. */
const pps_schema_t *
pps_schema(pps_object_kind_t kind);

/** Finds the kind by its word. @return 0 or PPS_ENOTFOUND */
int
pps_schema_find(pps_object_kind_t *out, const char *word, size_t size);

/** Finds a key of `size` bytes. @return the attribute or NULL */
const pps_attribute_t *
pps_schema_attribute(const pps_schema_t *schema, const char *key, size_t size);

#endif
