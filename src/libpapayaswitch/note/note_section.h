/**
 * @file note_section.h
 * @brief Parsed form of a note: sections that contain keys.
 */
#ifndef PPS_NOTE_SECTION_H
#define PPS_NOTE_SECTION_H

#include "catalog/value.h"
#include "papayaswitch/note.h"

#include <urcu/list.h>

/** Operation of a key on an object's value. */
typedef enum {
    PPS_NOTE_SET,    /**< `key = value` */
    PPS_NOTE_ADD,    /**< `key+ = items` */
    PPS_NOTE_REMOVE, /**< `key- = items` */
} pps_note_operation_t;

/** A key of a section. */
typedef struct {
    struct cds_list_head node;
    const pps_attribute_t *attribute;
    pps_note_operation_t operation;
    pps_value_t value;
    int is_invalid; /**< the value did not parse */
    int line;
} pps_note_key_t;

/** A section: an object and the keys that change. */
typedef struct {
    struct cds_list_head node;
    pps_object_kind_t kind;
    char *name;
    int line;
    struct cds_list_head keys;
} pps_note_section_t;

struct pps_note {
    char *id;
    char *text;
    size_t size;
    uint64_t base;
    int line;         /**< line of the section `[note]`; 0: missing */
    int has_findings; /**< parsing added findings */
    struct cds_list_head sections;
};

/** Appends a section. @return 0 or PPS_ENOMEM */
int
pps_note_section_add(pps_note_section_t **out, pps_note_t *note,
                     pps_object_kind_t kind, const char *name, int line);

/** Appends a key and moves `value` into it. @return 0 or PPS_ENOMEM */
int
pps_note_key_add(pps_note_section_t *section, const pps_attribute_t *attribute,
                 pps_note_operation_t operation, pps_value_t *value,
                 int is_invalid, int line);

/** Returns the section of an object, or NULL. */
pps_note_section_t *
pps_note_section_find(const pps_note_t *note, pps_object_kind_t kind,
                      const char *name);

/** Returns the first key for an attribute, or NULL. */
pps_note_key_t *
pps_note_key_find(const pps_note_section_t *section,
                  const pps_attribute_t *attribute);

#endif
