/** @file catalog_to_json.c @brief Converts a catalog to JSON. */
#include "papayaswitch/catalog_json.h"

#include "catalog/catalog_private.h"
#include "papayaswitch/errors.h"

static json_t *
list_to_json(const pps_name_list_t *list)
{
    json_t *array = json_array();

    for (size_t i = 0; i < list->count; i++) {
        if (json_array_append_new(array, json_string(list->items[i])) < 0) {
            json_decref(array);
            return NULL;
        }
    }
    return array;
}

static json_t *
text_to_json(const pps_attribute_t *attribute, const pps_value_t *value)
{
    pps_buf_t text = PPS_BUF_INIT;
    json_t *json = NULL;

    if (pps_value_print(&text, attribute, value) == PPS_OK) {
        json = json_string(pps_buf_text(&text));
    }
    pps_buf_clear(&text);
    return json;
}

static json_t *
value_to_json(const pps_attribute_t *attribute, const pps_value_t *value)
{
    switch (attribute->type) {
    case PPS_VALUE_REAL:
        return json_real(value->real);
    case PPS_VALUE_INTEGER:
        return json_integer(value->integer);
    case PPS_VALUE_LIST:
        return list_to_json(&value->list);
    default:
        return text_to_json(attribute, value);
    }
}

static json_t *
object_to_json(const pps_object_t *object)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    json_t *json =
        json_pack("{s:I, s:s}", "revision", (json_int_t)object->revision,
                  "note", object->note);

    for (size_t i = 0; i < schema->attribute_count; i++) {
        const pps_attribute_t *attribute = &schema->attributes[i];
        pps_value_t value;

        pps_value_load(&value, attribute, &object->as);
        if (json_object_set_new(json, attribute->key,
                                value_to_json(attribute, &value)) < 0) {
            json_decref(json);
            return NULL;
        }
    }
    return json;
}

static json_t *
table_to_json(const pps_object_t *object)
{
    json_t *json = json_object();

    for (; object != NULL; object = object->hh.next) {
        if (json_object_set_new(json, object->name, object_to_json(object)) <
            0) {
            json_decref(json);
            return NULL;
        }
    }
    return json;
}

int
pps_catalog_to_json(json_t **out, const pps_catalog_t *catalog)
{
    json_t *json =
        json_pack("{s:I}", "revision", (json_int_t)catalog->revision);

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        const char *plural = pps_schema((pps_object_kind_t)kind)->plural;

        if (json_object_set_new(json, plural,
                                table_to_json(catalog->objects[kind])) < 0) {
            json_decref(json);
            return pps_error_set(PPS_ENOMEM, "catalog: out of memory");
        }
    }
    *out = json;
    return PPS_OK;
}
