/** @file catalog_apply.c @brief Applies a note to a catalog. */
#include "catalog/catalog_codec.h"
#include "catalog/catalog_private.h"

#include "note/note_section.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <string.h>

/* Texts of findings and conflicts must not change: see catalog_check.c. */

typedef struct {
    const pps_catalog_t *base;
    pps_catalog_t *next;
    const pps_note_t *note;
    const char *file;
    pps_findings_t *findings;
    /** First object of the note changed after its base revision, or NULL. */
    const pps_object_t *first_conflict;
    size_t change_count; /**< number of objects that the note changes */
} applier_t;

static void
check_conflict(applier_t *applier, const pps_note_section_t *section,
               const pps_object_t *object)
{
    if (object->revision <= applier->note->base) {
        return;
    }
    if (applier->first_conflict == NULL) {
        applier->first_conflict = object;
    }
    pps_findings_add(applier->findings, applier->file, section->line,
                     "%s %s was changed by note %s at revision %" PRIu64
                     ", after base %" PRIu64,
                     pps_schema(section->kind)->singular, section->name,
                     object->note, object->revision, applier->note->base);
}

static void
remove_items(applier_t *applier, pps_name_list_t *list,
             const pps_note_key_t *key)
{
    for (size_t i = 0; i < key->value.list.count; i++) {
        if (pps_name_list_remove(list, key->value.list.items[i]) < 0) {
            pps_findings_add(applier->findings, applier->file, key->line,
                             "'%s' is not in %s", key->value.list.items[i],
                             key->attribute->key);
        }
    }
}

static int
change_list(applier_t *applier, pps_object_t *object,
            const pps_note_key_t *key)
{
    pps_value_t current;
    pps_value_t changed;
    int error;

    memset(&changed, 0, sizeof(changed));
    pps_value_load(&current, key->attribute, &object->as);
    error = pps_name_list_merge(&changed.list, &current.list);
    if (error == PPS_OK && key->operation == PPS_NOTE_ADD) {
        error = pps_name_list_merge(&changed.list, &key->value.list);
    }
    else if (error == PPS_OK) {
        remove_items(applier, &changed.list, key);
    }
    if (error == PPS_OK) {
        error = pps_value_store(&object->as, key->attribute, &changed);
    }
    pps_value_clear(&changed);
    return error;
}

static int
apply_operation(applier_t *applier, pps_object_t *object,
                const pps_note_section_t *section,
                pps_note_operation_t operation)
{
    const pps_note_key_t *key;
    int error = PPS_OK;

    cds_list_for_each_entry (key, &section->keys, node) {
        if (key->operation != operation || key->is_invalid || error < 0) {
            continue;
        }
        error = operation == PPS_NOTE_SET
                    ? pps_value_store(&object->as, key->attribute, &key->value)
                    : change_list(applier, object, key);
    }
    return error;
}

static int
apply_keys(applier_t *applier, pps_object_t *object,
           const pps_note_section_t *section)
{
    int error = apply_operation(applier, object, section, PPS_NOTE_SET);

    if (error == PPS_OK) {
        error = apply_operation(applier, object, section, PPS_NOTE_ADD);
    }
    if (error == PPS_OK) {
        error = apply_operation(applier, object, section, PPS_NOTE_REMOVE);
    }
    return error;
}

static void
check_required(applier_t *applier, const pps_note_section_t *section)
{
    const pps_schema_t *schema = pps_schema(section->kind);

    for (size_t i = 0; i < schema->attribute_count; i++) {
        const pps_attribute_t *attribute = &schema->attributes[i];

        if (attribute->default_value == NULL &&
            pps_note_key_find(section, attribute) == NULL) {
            pps_findings_add(applier->findings, applier->file, section->line,
                             "new %s %s needs the key %s", schema->singular,
                             section->name, attribute->key);
        }
    }
}

static int
apply_section(applier_t *applier, const pps_note_section_t *section)
{
    const pps_object_t *before =
        pps_catalog_find(applier->base, section->kind, section->name);
    pps_object_t *object =
        pps_catalog_find(applier->next, section->kind, section->name);
    int error = PPS_OK;

    if (before != NULL) {
        check_conflict(applier, section, before);
    }
    else {
        check_required(applier, section);
    }
    if (object == NULL) {
        error = pps_object_new(&object, section->kind, section->name);
        if (error < 0) {
            return error;
        }
        pps_catalog_insert(applier->next, object);
    }
    error = apply_keys(applier, object, section);
    if (error < 0 || (before != NULL && pps_object_equal(before, object))) {
        return error;
    }
    applier->change_count++;
    return pps_object_set_last_change(object, applier->next->revision,
                                      pps_note_id(applier->note));
}

static int
apply_sections(applier_t *applier)
{
    const pps_note_section_t *section;

    cds_list_for_each_entry (section, &applier->note->sections, node) {
        int error = apply_section(applier, section);

        if (error < 0) {
            return error;
        }
    }
    return PPS_OK;
}

static void
check_base(applier_t *applier)
{
    if (applier->note->base > applier->base->revision) {
        pps_findings_add(applier->findings, applier->file, applier->note->line,
                         "base %" PRIu64 " is above the revision in force, "
                         "%" PRIu64,
                         applier->note->base, applier->base->revision);
    }
}

static void
check_changes(applier_t *applier)
{
    if (applier->change_count == 0 && !applier->note->has_findings &&
        applier->first_conflict == NULL) {
        pps_findings_add(applier->findings, applier->file, applier->note->line,
                         "the note changes nothing");
    }
}

static int
check_size(applier_t *applier)
{
    size_t size;
    int error = pps_catalog_encoded_size(&size, applier->next);

    if (error == PPS_OK && size > PPS_CATALOG_BYTES_MAX) {
        pps_findings_add(applier->findings, applier->file, applier->note->line,
                         "the catalog would grow to %zu bytes, more than %d",
                         size, PPS_CATALOG_BYTES_MAX);
    }
    return error;
}

static int
set_conflict(const applier_t *applier)
{
    const pps_object_t *object = applier->first_conflict;

    return pps_error_set(PPS_ECONFLICT,
                         "%s %s was changed by note %s at revision %" PRIu64,
                         pps_schema(object->kind)->singular, object->name,
                         object->note, object->revision);
}

int
pps_catalog_apply(pps_catalog_t **out, const pps_catalog_t *base,
                  const pps_note_t *note, const char *file,
                  pps_findings_t *findings)
{
    applier_t applier = {
        .base = base, .note = note, .file = file, .findings = findings};
    size_t before = pps_findings_count(findings);
    int error = pps_catalog_copy(&applier.next, base);

    *out = NULL;
    if (error < 0) {
        return error;
    }
    applier.next->revision++;
    check_base(&applier);
    error = apply_sections(&applier);
    if (error < 0) {
        goto done;
    }
    pps_catalog_check(applier.next, note, file, findings);
    check_changes(&applier);
    error = check_size(&applier);
    if (error < 0) {
        goto done;
    }
    if (applier.first_conflict != NULL) {
        error = set_conflict(&applier);
        goto done;
    }
    if (note->has_findings || pps_findings_count(findings) > before) {
        error = pps_error_set(PPS_EINVALID, "%s: the note has findings", file);
        goto done;
    }
    pps_catalog_seal(applier.next);
    *out = applier.next;
    applier.next = NULL;

done:
    pps_catalog_free(applier.next);
    return error;
}
