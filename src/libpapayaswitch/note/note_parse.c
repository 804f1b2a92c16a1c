/** @file note_parse.c @brief Parses a note from INI text. */
#include "papayaswitch/note.h"

#include "catalog/name.h"
#include "ini_lines.h"
#include "note/note_section.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/* Texts of findings must not change: see catalog_check.c. */

#define BASE_DIGITS_MAX 18

/* Type of the section that the next keys belong to. */
typedef enum {
    SECTION_NONE,
    SECTION_NOTE,
    SECTION_OBJECT,
    SECTION_UNKNOWN,
} section_type_t;

typedef struct {
    pps_note_t *note;
    const char *file;
    pps_findings_t *findings;
    section_type_t section_type;
    pps_note_section_t *section;
    int id_line;
    int base_line;
    int comment_line;
    int error;
} parser_t;

static void
begin_note_section(parser_t *parser, int line)
{
    parser->section_type = SECTION_NOTE;
    if (parser->note->line != 0) {
        pps_findings_add(parser->findings, parser->file, line,
                         "second section [note], the first is on line %d",
                         parser->note->line);
        return;
    }
    parser->note->line = line;
}

static void
begin_object_section(parser_t *parser, pps_object_kind_t kind,
                     const char *name, int line)
{
    const pps_schema_t *schema = pps_schema(kind);
    const pps_note_section_t *first =
        pps_note_section_find(parser->note, kind, name);

    parser->section_type = SECTION_OBJECT;
    if (!schema->is_valid_name(name)) {
        pps_findings_add(parser->findings, parser->file, line,
                         "name of %s must be %s", schema->singular,
                         schema->name_format);
    }
    if (first != NULL) {
        pps_findings_add(parser->findings, parser->file, line,
                         "second section [%s %s], the first is on line %d",
                         schema->singular, name, first->line);
    }
    parser->error =
        pps_note_section_add(&parser->section, parser->note, kind, name, line);
}

static void
on_section(void *user, const char *header, int line)
{
    parser_t *parser = user;
    size_t size = strcspn(header, " \t");
    const char *name = header + size + strspn(header + size, " \t");
    pps_object_kind_t kind;

    if (parser->error < 0) {
        return;
    }
    if (strcmp(header, "note") == 0) {
        begin_note_section(parser, line);
        return;
    }
    if (pps_schema_find(&kind, header, size) < 0) {
        pps_findings_add(parser->findings, parser->file, line,
                         "unknown section [%s]", header);
        parser->section_type = SECTION_UNKNOWN;
        return;
    }
    begin_object_section(parser, kind, name, line);
}

/* Records a key's first line or adds a finding. @return whether recorded */
static int
record_first_line(parser_t *parser, int *first_line, const char *key, int line)
{
    if (*first_line != 0) {
        pps_findings_add(parser->findings, parser->file, line,
                         "second key %s, the first is on line %d", key,
                         *first_line);
        return 0;
    }
    *first_line = line;
    return 1;
}

static void
parse_id(parser_t *parser, const char *value, int line)
{
    if (!record_first_line(parser, &parser->id_line, "id", line)) {
        return;
    }
    if (!pps_name_is_plain(value)) {
        pps_findings_add(parser->findings, parser->file, line,
                         "id must be 1 to %d characters of [a-z0-9._-]",
                         PPS_NAME_MAX);
        return;
    }
    parser->note->id = strdup(value);
    if (parser->note->id == NULL) {
        parser->error = pps_error_set(PPS_ENOMEM, "note: out of memory");
    }
}

static void
parse_base(parser_t *parser, const char *value, int line)
{
    size_t size = strlen(value);

    if (!record_first_line(parser, &parser->base_line, "base", line)) {
        return;
    }
    if (size == 0 || size > BASE_DIGITS_MAX ||
        strspn(value, "0123456789") != size) {
        pps_findings_add(parser->findings, parser->file, line,
                         "base must be a whole number of at most %d digits",
                         BASE_DIGITS_MAX);
        return;
    }
    parser->note->base = strtoull(value, NULL, 10);
}

static void
parse_note_key(parser_t *parser, const char *key, const char *value, int line)
{
    if (strcmp(key, "id") == 0) {
        parse_id(parser, value, line);
    }
    else if (strcmp(key, "base") == 0) {
        parse_base(parser, value, line);
    }
    else if (strcmp(key, "comment") == 0) {
        record_first_line(parser, &parser->comment_line, key, line);
    }
    else {
        pps_findings_add(parser->findings, parser->file, line,
                         "unknown key %s in [note]", key);
    }
}

static const pps_attribute_t *
find_attribute(const pps_schema_t *schema, const char *key,
               pps_note_operation_t *operation)
{
    const pps_attribute_t *attribute;
    size_t size = strlen(key);
    char last = size > 0 ? key[size - 1] : '\0';

    *operation = PPS_NOTE_SET;
    if (last == '+' || last == '-') {
        *operation = last == '+' ? PPS_NOTE_ADD : PPS_NOTE_REMOVE;
        size--;
    }
    attribute = pps_schema_attribute(schema, key, size);
    if (attribute != NULL && *operation != PPS_NOTE_SET &&
        attribute->type != PPS_VALUE_LIST) {
        return NULL;
    }
    return attribute;
}

static int
is_repeated(parser_t *parser, const pps_attribute_t *attribute,
            pps_note_operation_t operation, const char *name, int line)
{
    pps_note_key_t *key;

    cds_list_for_each_entry (key, &parser->section->keys, node) {
        if (key->attribute == attribute && key->operation == operation) {
            pps_findings_add(parser->findings, parser->file, line,
                             "second key %s, the first is on line %d", name,
                             key->line);
            return 1;
        }
    }
    return 0;
}

static void
parse_object_key(parser_t *parser, const char *name, const char *text,
                 int line)
{
    const pps_schema_t *schema = pps_schema(parser->section->kind);
    pps_note_operation_t operation;
    const pps_attribute_t *attribute =
        find_attribute(schema, name, &operation);
    pps_value_t value;
    int error;

    if (attribute == NULL) {
        pps_findings_add(parser->findings, parser->file, line,
                         "unknown key %s in [%s]", name, schema->singular);
        return;
    }
    if (is_repeated(parser, attribute, operation, name, line)) {
        return;
    }
    error = pps_value_parse(&value, attribute, text, parser->file, line,
                            parser->findings);
    if (error == PPS_ENOMEM) {
        parser->error = error;
        return;
    }
    parser->error = pps_note_key_add(parser->section, attribute, operation,
                                     &value, error < 0, line);
    pps_value_clear(&value);
}

static void
on_key(void *user, const char *section, const char *key, const char *value,
       int line)
{
    parser_t *parser = user;

    if (parser->error < 0) {
        return;
    }
    switch (parser->section_type) {
    case SECTION_NONE:
        pps_findings_add(parser->findings, parser->file, line,
                         "key %s before any section", key);
        break;
    case SECTION_NOTE:
        parse_note_key(parser, key, value, line);
        break;
    case SECTION_OBJECT:
        parse_object_key(parser, key, value, line);
        break;
    case SECTION_UNKNOWN:
        break;
    }
}

static void
check_required(parser_t *parser)
{
    if (parser->note->line == 0) {
        pps_findings_add(parser->findings, parser->file, 0,
                         "section [note] is missing");
        return;
    }
    if (parser->id_line == 0) {
        pps_findings_add(parser->findings, parser->file, parser->note->line,
                         "key id is missing in [note]");
    }
    if (parser->base_line == 0) {
        pps_findings_add(parser->findings, parser->file, parser->note->line,
                         "key base is missing in [note]");
    }
}

static int
copy_text(pps_note_t *note, const char *text, size_t size)
{
    note->text = malloc(size + 1);
    if (note->text == NULL) {
        return pps_error_set(PPS_ENOMEM, "note: out of memory");
    }
    if (size > 0) {
        memcpy(note->text, text, size);
    }
    note->text[size] = '\0';
    note->size = size;
    return PPS_OK;
}

int
pps_note_parse(pps_note_t **out, const char *text, size_t size,
               const char *file, pps_findings_t *findings)
{
    const pps_ini_handler_t handler = {on_section, on_key};
    parser_t parser = {.file = file, .findings = findings};
    size_t before = pps_findings_count(findings);
    int error;

    *out = NULL;
    parser.note = calloc(1, sizeof(*parser.note));
    if (parser.note == NULL) {
        return pps_error_set(PPS_ENOMEM, "note: out of memory");
    }
    CDS_INIT_LIST_HEAD(&parser.note->sections);
    error = copy_text(parser.note, text, size);
    if (error == PPS_OK) {
        error = pps_ini_read(parser.note->text, size, file, &handler, &parser,
                             findings);
    }
    if (error < 0 || parser.error < 0) {
        pps_note_free(parser.note);
        return error < 0 ? error : parser.error;
    }
    check_required(&parser);
    *out = parser.note;
    if (pps_findings_count(findings) == before) {
        return PPS_OK;
    }
    parser.note->has_findings = 1;
    return pps_error_set(PPS_EINVALID, "%s: the note has findings", file);
}
