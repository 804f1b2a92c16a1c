/**
 * @file catalog_check.c
 * @brief Checks constraints between objects.
 *
 * The texts of findings on a note must not change: verdicts store them, and
 * hosts of different builds must compute the same digest of the verdicts.
 */
#include "catalog/catalog_private.h"

#include "note/note_section.h"

#include <string.h>

typedef struct {
    const pps_catalog_t *catalog;
    const pps_note_t *note;
    const char *file;
    pps_findings_t *findings;
} checker_t;

static const pps_note_section_t *
find_section(const checker_t *checker, const pps_object_t *object)
{
    return checker->note ? pps_note_section_find(checker->note, object->kind,
                                                 object->name)
                         : NULL;
}

/* Returns the line of the key, else of the object's section, else 0. */
static int
find_line(const checker_t *checker, const pps_object_t *object,
          const pps_attribute_t *attribute)
{
    const pps_note_section_t *section = find_section(checker, object);
    const pps_note_key_t *key =
        section && attribute ? pps_note_key_find(section, attribute) : NULL;

    if (key != NULL) {
        return key->line;
    }
    return section ? section->line : 0;
}

static void
check_reference(const checker_t *checker, const pps_object_t *object,
                const pps_attribute_t *attribute, const char *name)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    const char *target_type = pps_schema(attribute->target_kind)->singular;
    const pps_object_t *target =
        pps_catalog_find(checker->catalog, attribute->target_kind, name);
    int line = find_line(checker, object, attribute);

    if (target == NULL) {
        pps_findings_add(checker->findings, checker->file, line,
                         "%s %s: %s names the unknown %s %s", schema->singular,
                         object->name, attribute->key, target_type, name);
        return;
    }
    if (attribute->target_kind != PPS_OBJECT_UPSTREAM ||
        (int)target->as.upstream.kind == attribute->target_upstream_kind) {
        return;
    }
    pps_findings_add(checker->findings, checker->file,
                     line ? line : find_line(checker, target, NULL),
                     "%s %s: %s names the upstream %s, which is no %s",
                     schema->singular, object->name, attribute->key, name,
                     attribute->target_upstream_kind == PPS_UPSTREAM_ENGINE
                         ? "engine"
                         : "service");
}

static void
check_references(const checker_t *checker, const pps_object_t *object)
{
    const pps_schema_t *schema = pps_schema(object->kind);

    for (size_t i = 0; i < schema->attribute_count; i++) {
        const pps_attribute_t *attribute = &schema->attributes[i];
        pps_value_t value;

        if (!attribute->is_reference) {
            continue;
        }
        pps_value_load(&value, attribute, &object->as);
        if (value.name != NULL) {
            check_reference(checker, object, attribute, value.name);
        }
        for (size_t item = 0; item < value.list.count; item++) {
            check_reference(checker, object, attribute,
                            value.list.items[item]);
        }
    }
}

/* Returns the line of an allowed, withdrawn version's section, or 0. */
static int
find_withdrawal_line(const checker_t *checker,
                     const pps_workspace_t *workspace)
{
    for (size_t i = 0; i < workspace->allow_count; i++) {
        const pps_object_t *version = pps_catalog_find(
            checker->catalog, PPS_OBJECT_VERSION, workspace->allow[i]);
        int line = version ? find_line(checker, version, NULL) : 0;

        if (line != 0) {
            return line;
        }
    }
    return 0;
}

/* An unknown version counts as not withdrawn; check_reference() reports it. */
static int
is_usable(const checker_t *checker, const pps_workspace_t *workspace)
{
    for (size_t i = 0; i < workspace->allow_count; i++) {
        const pps_version_t *version =
            pps_catalog_version(checker->catalog, workspace->allow[i]);

        if (version == NULL || version->state != PPS_VERSION_WITHDRAWN) {
            return 1;
        }
    }
    return workspace->allow_count == 0 && workspace->service_count > 0;
}

/* The parser has already added a finding for a list that did not parse. */
static int
has_invalid_list(const checker_t *checker, const pps_object_t *object)
{
    const pps_note_section_t *section = find_section(checker, object);
    const pps_note_key_t *key;

    if (section == NULL) {
        return 0;
    }
    cds_list_for_each_entry (key, &section->keys, node) {
        if (key->is_invalid && key->attribute->type == PPS_VALUE_LIST) {
            return 1;
        }
    }
    return 0;
}

static void
check_usable(const checker_t *checker, const pps_object_t *object)
{
    const pps_workspace_t *workspace = &object->as.workspace;
    int line = find_line(checker, object, NULL);

    if (is_usable(checker, workspace) || has_invalid_list(checker, object)) {
        return;
    }
    pps_findings_add(
        checker->findings, checker->file,
        line ? line : find_withdrawal_line(checker, workspace),
        "workspace %s is left without any allowed version that is not "
        "withdrawn",
        object->name);
}

static int
has_key(const pps_workspace_t *workspace)
{
    static const unsigned char unset[PPS_KEY_HASH_BYTES];

    return memcmp(workspace->key_hash, unset, sizeof(unset)) != 0;
}

static void
check_key(const checker_t *checker, const pps_object_t *object,
          pps_object_t **seen)
{
    const pps_workspace_t *workspace = &object->as.workspace;
    const pps_attribute_t *attribute = pps_schema_attribute(
        pps_schema(object->kind), "key_hash", strlen("key_hash"));
    int line = find_line(checker, object, attribute);
    pps_object_t *first;

    if (!has_key(workspace)) {
        return;
    }
    first = pps_key_table_find(*seen, workspace->key_hash);
    if (first == NULL) {
        pps_key_table_insert(seen, (pps_object_t *)object);
        return;
    }
    pps_findings_add(checker->findings, checker->file,
                     line ? line : find_line(checker, first, attribute),
                     "workspaces %s and %s have one key_hash", first->name,
                     object->name);
}

void
pps_catalog_check(const pps_catalog_t *catalog, const pps_note_t *note,
                  const char *file, pps_findings_t *findings)
{
    checker_t checker = {catalog, note, file, findings};
    pps_object_t *seen = NULL;

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        for (const pps_object_t *object = catalog->objects[kind];
             object != NULL; object = object->hh.next) {
            check_references(&checker, object);
            if (kind == PPS_OBJECT_WORKSPACE) {
                check_usable(&checker, object);
                check_key(&checker, object, &seen);
            }
        }
    }
    HASH_CLEAR(by_key, seen);
}
