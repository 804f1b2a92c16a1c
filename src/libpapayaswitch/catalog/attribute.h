/**
 * @file attribute.h
 * @brief Tables of the keys of each kind of object.
 *
 * Note parsing, applying, diffs, JSON and checkpoints all use these tables.
 */
#ifndef PPS_CATALOG_ATTRIBUTE_H
#define PPS_CATALOG_ATTRIBUTE_H

#include "papayaswitch/catalog.h"

/** Kinds of object, in the order in which they are encoded. */
typedef enum {
    PPS_OBJECT_UPSTREAM,
    PPS_OBJECT_VERSION,
    PPS_OBJECT_WORKSPACE,
    PPS_OBJECT_KIND_COUNT,
} pps_object_kind_t;

/** Types of an attribute's value. */
typedef enum {
    PPS_VALUE_NAME,    /**< one name, `const char *` */
    PPS_VALUE_ENUM,    /**< one of a set of names, stored as an int index */
    PPS_VALUE_REAL,    /**< double */
    PPS_VALUE_INTEGER, /**< int64_t */
    PPS_VALUE_HASH,    /**< PPS_KEY_HASH_BYTES bytes */
    PPS_VALUE_LIST,    /**< names, a pointer followed by a count */
} pps_value_type_t;

/** A key of a kind of object. */
typedef struct {
    const char *key;
    pps_value_type_t type;
    size_t offset; /**< offset in bytes of the field in the public type */
    const char *default_value; /**< value in a new object; NULL: required */
    const char *const *enum_names; /**< ENUM: NULL-terminated names */
    double minimum;                /**< REAL, INTEGER: lower bound */
    double maximum; /**< REAL, INTEGER: inclusive upper bound; DBL_MAX: none */
    int exclusive_minimum; /**< `minimum` itself is out of range */
    int (*is_valid_item)(const char *); /**< NAME, LIST: check of a name */
    const char *item_format; /**< NAME, LIST: expected format, for findings */
    int is_reference;        /**< the names refer to objects */
    pps_object_kind_t target_kind; /**< kind of the objects referred to */
    int target_upstream_kind;      /**< required kind of a target UPSTREAM */
} pps_attribute_t;

/** Description of a kind of object. */
typedef struct {
    const char *singular; /**< first word of the section header */
    const char *plural;   /**< name of its table in JSON */
    int (*is_valid_name)(const char *);
    const char *name_format; /**< expected format of a name, for findings */
    const pps_attribute_t *attributes;
    size_t attribute_count;
} pps_schema_t;

/** Returns the schema of a kind. */
const pps_schema_t *
pps_schema(pps_object_kind_t kind);

/** Finds the kind with this `singular`. @return 0 or PPS_ENOTFOUND */
int
pps_schema_find(pps_object_kind_t *out, const char *singular, size_t size);

/** Returns the attribute whose key has these `size` bytes, or NULL. */
const pps_attribute_t *
pps_schema_attribute(const pps_schema_t *schema, const char *key, size_t size);

#endif
