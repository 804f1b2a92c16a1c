/** @file note.c @brief Builds and searches the parsed form of a note. */
#include "papayaswitch/note.h"

#include "note/note_section.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void
free_section(pps_note_section_t *section)
{
    pps_note_key_t *key;
    pps_note_key_t *next;

    cds_list_for_each_entry_safe (key, next, &section->keys, node) {
        pps_value_clear(&key->value);
        free(key);
    }
    free(section->name);
    free(section);
}

void
pps_note_free(pps_note_t *note)
{
    pps_note_section_t *section;
    pps_note_section_t *next;

    if (note == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (section, next, &note->sections, node) {
        free_section(section);
    }
    free(note->id);
    free(note->text);
    free(note);
}

int
pps_note_section_add(pps_note_section_t **out, pps_note_t *note,
                     pps_object_kind_t kind, const char *name, int line)
{
    pps_note_section_t *section = calloc(1, sizeof(*section));

    if (section == NULL || (section->name = strdup(name)) == NULL) {
        free(section);
        return pps_error_set(PPS_ENOMEM, "note: out of memory");
    }
    section->kind = kind;
    section->line = line;
    CDS_INIT_LIST_HEAD(&section->keys);
    cds_list_add_tail(&section->node, &note->sections);
    *out = section;
    return PPS_OK;
}

int
pps_note_key_add(pps_note_section_t *section, const pps_attribute_t *attribute,
                 pps_note_operation_t operation, pps_value_t *value,
                 int is_invalid, int line)
{
    pps_note_key_t *key = calloc(1, sizeof(*key));

    if (key == NULL) {
        return pps_error_set(PPS_ENOMEM, "note: out of memory");
    }
    key->attribute = attribute;
    key->operation = operation;
    key->value = *value;
    key->is_invalid = is_invalid;
    key->line = line;
    memset(value, 0, sizeof(*value));
    cds_list_add_tail(&key->node, &section->keys);
    return PPS_OK;
}

pps_note_section_t *
pps_note_section_find(const pps_note_t *note, pps_object_kind_t kind,
                      const char *name)
{
    pps_note_section_t *section;

    cds_list_for_each_entry (section, &note->sections, node) {
        if (section->kind == kind && strcmp(section->name, name) == 0) {
            return section;
        }
    }
    return NULL;
}

pps_note_key_t *
pps_note_key_find(const pps_note_section_t *section,
                  const pps_attribute_t *attribute)
{
    pps_note_key_t *key;

    cds_list_for_each_entry (key, &section->keys, node) {
        if (key->attribute == attribute) {
            return key;
        }
    }
    return NULL;
}

const char *
pps_note_id(const pps_note_t *note)
{
    return note->id ? note->id : "";
}

uint64_t
pps_note_base(const pps_note_t *note)
{
    return note->base;
}

uint64_t
pps_note_digest(const pps_note_t *note)
{
    return XXH64(note->text, note->size, 0);
}

const char *
pps_note_text(const pps_note_t *note, size_t *size)
{
    if (size != NULL) {
        *size = note->size;
    }
    return note->text;
}
