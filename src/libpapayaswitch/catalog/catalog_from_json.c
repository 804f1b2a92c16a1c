/** @file catalog_from_json.c @brief Creates a catalog from JSON. */
#include "papayaswitch/catalog_json.h"

#include "catalog/catalog_private.h"
#include "catalog/name.h"
#include "papayaswitch/errors.h"

/* Joins the items with commas for the parser of note values. */
static int
join_list(pps_buf_t *out, const json_t *json)
{
    const json_t *item;
    size_t i;

    json_array_foreach(json, i, item)
    {
        if (!json_is_string(item)) {
            return PPS_EINVALID;
        }
        pps_buf_printf(out, "%s%s", i > 0 ? "," : "", json_string_value(item));
    }
    return out->failed ? PPS_ENOMEM : PPS_OK;
}

static int
parse_text(pps_value_t *out, const pps_attribute_t *attribute,
           const json_t *json, pps_findings_t *findings)
{
    pps_buf_t text = PPS_BUF_INIT;
    int error = PPS_EINVALID;

    if (attribute->type == PPS_VALUE_LIST && json_is_array(json)) {
        error = join_list(&text, json);
    }
    else if (attribute->type != PPS_VALUE_LIST && json_is_string(json)) {
        error = pps_buf_puts(&text, json_string_value(json));
    }
    if (error == PPS_OK) {
        error = pps_value_parse(out, attribute, pps_buf_text(&text), "", 0,
                                findings);
    }
    pps_buf_clear(&text);
    return error;
}

static int
parse_number(pps_value_t *out, const pps_attribute_t *attribute,
             const json_t *json)
{
    if (!json_is_number(json) ||
        (attribute->type == PPS_VALUE_INTEGER && !json_is_integer(json))) {
        return PPS_EINVALID;
    }
    out->real = json_number_value(json);
    out->integer = json_integer_value(json);
    return pps_value_in_range(attribute, out->real) ? PPS_OK : PPS_EINVALID;
}

static int
parse_attribute(pps_object_t *object, const pps_attribute_t *attribute,
                const json_t *json, pps_findings_t *findings)
{
    pps_value_t value = {0};
    int error;

    if (attribute->type == PPS_VALUE_REAL ||
        attribute->type == PPS_VALUE_INTEGER) {
        error = parse_number(&value, attribute, json);
    }
    else {
        error = parse_text(&value, attribute, json, findings);
    }
    if (error == PPS_OK) {
        error = pps_value_store(&object->as, attribute, &value);
    }
    pps_value_clear(&value);
    return error;
}

static int
parse_last_change(pps_object_t *object, const json_t *json)
{
    json_int_t revision =
        json_integer_value(json_object_get(json, "revision"));
    const char *note = json_string_value(json_object_get(json, "note"));

    if (revision < 1 || note == NULL || !pps_name_is_plain(note)) {
        return PPS_EINVALID;
    }
    return pps_object_set_last_change(object, (uint64_t)revision, note);
}

static int
parse_fields(pps_object_t *object, const json_t *json,
             pps_findings_t *findings)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    int error = parse_last_change(object, json);

    for (size_t i = 0; i < schema->attribute_count && error == PPS_OK; i++) {
        const pps_attribute_t *attribute = &schema->attributes[i];

        error =
            parse_attribute(object, attribute,
                            json_object_get(json, attribute->key), findings);
    }
    return error;
}

static int
parse_object(pps_catalog_t *catalog, pps_object_kind_t kind, const char *name,
             const json_t *json, pps_findings_t *findings)
{
    const pps_schema_t *schema = pps_schema(kind);
    pps_object_t *object;
    int error;

    if (!schema->is_valid_name(name)) {
        return pps_error_set(PPS_EINVALID,
                             "catalog: %s '%s' has an invalid name",
                             schema->singular, name);
    }
    error = pps_object_new(&object, kind, name);
    if (error < 0) {
        return error;
    }
    error = parse_fields(object, json, findings);
    if (error < 0) {
        pps_object_free(object);
        return pps_error_set(error,
                             "catalog: %s %s has a missing or invalid member",
                             schema->singular, name);
    }
    pps_catalog_insert(catalog, object);
    return PPS_OK;
}

static int
parse_table(pps_catalog_t *catalog, pps_object_kind_t kind, json_t *json,
            pps_findings_t *findings)
{
    const char *plural = pps_schema(kind)->plural;
    const char *name;
    json_t *item;
    int error = PPS_OK;

    if (!json_is_object(json)) {
        return pps_error_set(PPS_EINVALID,
                             "catalog: member '%s' must be an object", plural);
    }
    json_object_foreach(json, name, item)
    {
        error = parse_object(catalog, kind, name, item, findings);
        if (error < 0) {
            break;
        }
    }
    return error;
}

static int
parse_catalog(pps_catalog_t *catalog, const json_t *json,
              pps_findings_t *findings)
{
    const json_t *revision = json_object_get(json, "revision");
    int error = PPS_OK;

    if (!json_is_integer(revision) || json_integer_value(revision) < 0) {
        return pps_error_set(
            PPS_EINVALID,
            "catalog: 'revision' must be an integer, at least 0");
    }
    catalog->revision = (uint64_t)json_integer_value(revision);
    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT && error == PPS_OK;
         kind++) {
        const char *plural = pps_schema((pps_object_kind_t)kind)->plural;

        error = parse_table(catalog, (pps_object_kind_t)kind,
                            json_object_get(json, plural), findings);
    }
    if (error < 0) {
        return error;
    }
    pps_catalog_check(catalog, NULL, "", findings);
    if (pps_findings_count(findings) > 0) {
        return pps_error_set(PPS_EINVALID, "catalog: %s",
                             pps_findings_at(findings, 0)->message);
    }
    return PPS_OK;
}

int
pps_catalog_from_json(pps_catalog_t **out, const json_t *json)
{
    pps_findings_t *findings = NULL;
    pps_catalog_t *catalog = NULL;
    int error = pps_findings_new(&findings);

    if (error < 0) {
        goto done;
    }
    error = pps_catalog_new(&catalog);
    if (error < 0) {
        goto done;
    }
    error = parse_catalog(catalog, json, findings);
    if (error < 0) {
        goto done;
    }
    pps_catalog_seal(catalog);
    *out = catalog;
    catalog = NULL;

done:
    pps_catalog_free(catalog);
    pps_findings_free(findings);
    return error;
}
