/**
 * @file note_section.h
 * @brief The parsed form of a note: sections of keys.
 */
#ifndef PPS_NOTE_SECTION_H
#define PPS_NOTE_SECTION_H

#include "catalog/value.h"
#include "papayaswitch/note.h"

#include <urcu/list.h>

/** What a key does to the value. */
typedef enum {
    PPS_NOTE_SET,    /**< `key = value` */
    PPS_NOTE_ADD,    /**< `key+ = items` */
    PPS_NOTE_REMOVE, /**< `key- = items` */
} pps_note_operation_t;

/** One key of a section. */
typedef struct {
    struct cds_list_head node;
    const pps_attribute_t *attribute;
    pps_note_operation_t operation;
    pps_value_t value;
    int faulty; /**< the value did not parse */
    int line;
} pps_note_key_t;

/** One section: an object and the keys that change. */
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
    int line;   /**< of the section `[note]` */
    int faulty; /**< parsing gave findings */
    struct cds_list_head sections;
};

/** Appends a section. @return 0 or PPS_ENOMEM */
int
pps_note_section_add(pps_note_section_t **out, pps_note_t *note,
                     pps_object_kind_t kind, const char *name, int line);

/** Appends a key; the section takes over the value. @return 0 or PPS_ENOMEM */
int
pps_note_key_add(pps_note_section_t *section, const pps_attribute_t *attribute,
                 pps_note_operation_t operation, pps_value_t *value,
                 int faulty, int line);

/** The section of an object, or NULL. */
pps_note_section_t *
pps_note_section_find(const pps_note_t *note, pps_object_kind_t kind,
                      const char *name);

/** The first key for an attribute, or NULL. */
pps_note_key_t *
pps_note_key_find(const pps_note_section_t *section,
                  const pps_attribute_t *attribute);

#endif
