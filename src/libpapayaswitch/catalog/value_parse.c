/** @file value_parse.c @brief Parses texts into typed values. */
#include "catalog/value.h"

#include "papayaswitch/errors.h"

#include <errno.h>
#include <math.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Texts of findings must not change: see catalog_check.c. */

#define NUMBER_BYTES_MAX 40
#define HASH_HEX_DIGITS (2 * PPS_KEY_HASH_BYTES)

typedef struct {
    pps_value_t *out;
    const pps_attribute_t *attribute;
    const char *file;
    int line;
    pps_findings_t *findings;
    int has_invalid_items;
} parser_t;

static int
add_finding(parser_t *parser, const char *expected)
{
    pps_findings_add(parser->findings, parser->file, parser->line,
                     "%s must be %s", parser->attribute->key, expected);
    return PPS_EINVALID;
}

static int
parse_name(parser_t *parser, const char *text)
{
    if (!parser->attribute->is_valid_item(text)) {
        return add_finding(parser, parser->attribute->item_format);
    }
    parser->out->name = strdup(text);
    if (parser->out->name == NULL) {
        return pps_error_set(PPS_ENOMEM, "value: out of memory");
    }
    return PPS_OK;
}

static int
parse_enum(parser_t *parser, const char *text)
{
    const char *const *enum_names = parser->attribute->enum_names;
    pps_buf_t expected = PPS_BUF_INIT;

    parser->out->enum_index = pps_value_find_enum(parser->attribute, text);
    if (parser->out->enum_index >= 0) {
        return PPS_OK;
    }
    for (int i = 0; enum_names[i] != NULL; i++) {
        pps_buf_printf(&expected, "%s%s", i > 0 ? " or " : "", enum_names[i]);
    }
    add_finding(parser, pps_buf_text(&expected));
    pps_buf_clear(&expected);
    return PPS_EINVALID;
}

/* Rejects a leading sign, hexadecimal, inf and nan, which strtod() accepts. */
static int
read_number(double *out, const char *text, const char *allowed)
{
    char *end;

    if (text[0] == '\0' || strlen(text) > NUMBER_BYTES_MAX ||
        strspn(text, allowed) != strlen(text) || text[0] == 'e' ||
        text[0] == '-') {
        return PPS_EINVALID;
    }
    errno = 0;
    *out = strtod(text, &end);
    return *end == '\0' && isfinite(*out) ? PPS_OK : PPS_EINVALID;
}

static int
parse_number(parser_t *parser, const char *text)
{
    const pps_attribute_t *attribute = parser->attribute;
    int is_integer = attribute->type == PPS_VALUE_INTEGER;
    const char *kind = is_integer ? "a whole number" : "a number";
    char expected[128];
    double number;

    if (read_number(&number, text,
                    is_integer ? "0123456789" : "0123456789.e-") == PPS_OK &&
        pps_value_in_range(attribute, number)) {
        parser->out->real = number;
        parser->out->integer = is_integer ? (int64_t)number : 0;
        return PPS_OK;
    }
    if (attribute->maximum < 1e300) {
        snprintf(expected, sizeof(expected), "%s %s %g and at most %.10g",
                 kind, attribute->exclusive_minimum ? "above" : "of at least",
                 attribute->minimum, attribute->maximum);
    }
    else {
        snprintf(expected, sizeof(expected), "%s above %g", kind,
                 attribute->minimum);
    }
    return add_finding(parser, expected);
}

static int
parse_hash(parser_t *parser, const char *text)
{
    size_t size = 0;

    if (strlen(text) != HASH_HEX_DIGITS ||
        sodium_hex2bin(parser->out->hash, PPS_KEY_HASH_BYTES, text,
                       HASH_HEX_DIGITS, NULL, &size, NULL) != 0 ||
        size != PPS_KEY_HASH_BYTES ||
        sodium_is_zero(parser->out->hash, PPS_KEY_HASH_BYTES)) {
        return add_finding(parser, "64 hexadecimal digits, not all zero");
    }
    return PPS_OK;
}

static int
parse_item(const char *item, size_t size, void *user)
{
    parser_t *parser = user;
    size_t before = parser->out->list.count;
    char *copy = strndup(item, size);
    int error = PPS_OK;

    if (copy == NULL) {
        return pps_error_set(PPS_ENOMEM, "value: out of memory");
    }
    if (!parser->attribute->is_valid_item(copy)) {
        pps_findings_add(parser->findings, parser->file, parser->line,
                         "'%s' in %s must be %s", copy, parser->attribute->key,
                         parser->attribute->item_format);
        parser->has_invalid_items = 1;
        goto done;
    }
    error = pps_name_list_add(&parser->out->list, copy, size);
    if (error == PPS_OK && parser->out->list.count == before) {
        pps_findings_add(parser->findings, parser->file, parser->line,
                         "'%s' stands twice in %s", copy,
                         parser->attribute->key);
        parser->has_invalid_items = 1;
    }

done:
    free(copy);
    return error;
}

static int
parse_list(parser_t *parser, const char *text)
{
    int error;

    if (text[0] == '\0') {
        return PPS_OK;
    }
    error = pps_comma_list_foreach(text, parse_item, parser);
    if (error == PPS_OK && parser->has_invalid_items) {
        return PPS_EINVALID;
    }
    return error;
}

int
pps_value_parse(pps_value_t *out, const pps_attribute_t *attribute,
                const char *text, const char *file, int line,
                pps_findings_t *findings)
{
    parser_t parser = {out, attribute, file, line, findings, 0};
    int error = PPS_OK;

    memset(out, 0, sizeof(*out));
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        error = parse_name(&parser, text);
        break;
    case PPS_VALUE_ENUM:
        error = parse_enum(&parser, text);
        break;
    case PPS_VALUE_REAL:
    case PPS_VALUE_INTEGER:
        error = parse_number(&parser, text);
        break;
    case PPS_VALUE_HASH:
        error = parse_hash(&parser, text);
        break;
    case PPS_VALUE_LIST:
        error = parse_list(&parser, text);
        break;
    }
    if (error < 0) {
        pps_value_clear(out);
    }
    return error;
}
