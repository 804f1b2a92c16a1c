/** @file catalog_decode.c @brief Decodes a catalog from msgpack. */
#include "catalog/catalog_codec.h"

#include "catalog/catalog_private.h"
#include "catalog/name.h"
#include "papayaswitch/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Name, revision and note precede the attributes. */
#define HEADER_FIELD_COUNT 3

static int
decode_text(char **out, const msgpack_object *data)
{
    if (data->type != MSGPACK_OBJECT_STR ||
        memchr(data->via.str.ptr, '\0', data->via.str.size) != NULL) {
        return PPS_ECORRUPT;
    }
    *out = strndup(data->via.str.ptr, data->via.str.size);
    return *out ? PPS_OK : PPS_ENOMEM;
}

static int
decode_name(pps_value_t *out, const pps_attribute_t *attribute,
            const msgpack_object *data)
{
    int error = decode_text(&out->name, data);

    if (error == PPS_OK && !attribute->is_valid_item(out->name)) {
        return PPS_ECORRUPT;
    }
    return error;
}

static int
decode_list(pps_value_t *out, const pps_attribute_t *attribute,
            const msgpack_object *data)
{
    int error = PPS_OK;

    if (data->type != MSGPACK_OBJECT_ARRAY) {
        return PPS_ECORRUPT;
    }
    for (uint32_t i = 0; i < data->via.array.size && error == PPS_OK; i++) {
        char *item = NULL;

        error = decode_text(&item, &data->via.array.ptr[i]);
        if (error == PPS_OK && !attribute->is_valid_item(item)) {
            error = PPS_ECORRUPT;
        }
        if (error == PPS_OK) {
            error = pps_name_list_add(&out->list, item, strlen(item));
        }
        free(item);
    }
    return error;
}

static int
decode_enum(pps_value_t *out, const pps_attribute_t *attribute,
            const msgpack_object *data)
{
    uint64_t count = 0;

    while (attribute->enum_names[count] != NULL) {
        count++;
    }
    if (data->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        data->via.u64 >= count) {
        return PPS_ECORRUPT;
    }
    out->enum_index = (int)data->via.u64;
    return PPS_OK;
}

static int
decode_number(pps_value_t *out, const pps_attribute_t *attribute,
              const msgpack_object *data)
{
    int is_integer = attribute->type == PPS_VALUE_INTEGER;

    if (is_integer && data->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        data->via.u64 <= INT64_MAX) {
        out->integer = (int64_t)data->via.u64;
        out->real = (double)out->integer;
    }
    else if (!is_integer && data->type == MSGPACK_OBJECT_FLOAT64) {
        out->real = data->via.f64;
    }
    else {
        return PPS_ECORRUPT;
    }
    return pps_value_in_range(attribute, out->real) ? PPS_OK : PPS_ECORRUPT;
}

static int
decode_hash(pps_value_t *out, const msgpack_object *data)
{
    if (data->type != MSGPACK_OBJECT_BIN ||
        data->via.bin.size != PPS_KEY_HASH_BYTES) {
        return PPS_ECORRUPT;
    }
    memcpy(out->hash, data->via.bin.ptr, PPS_KEY_HASH_BYTES);
    return sodium_is_zero(out->hash, PPS_KEY_HASH_BYTES) ? PPS_ECORRUPT
                                                         : PPS_OK;
}

static int
decode_value(pps_value_t *out, const pps_attribute_t *attribute,
             const msgpack_object *data)
{
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        return decode_name(out, attribute, data);
    case PPS_VALUE_ENUM:
        return decode_enum(out, attribute, data);
    case PPS_VALUE_REAL:
    case PPS_VALUE_INTEGER:
        return decode_number(out, attribute, data);
    case PPS_VALUE_HASH:
        return decode_hash(out, data);
    case PPS_VALUE_LIST:
        return decode_list(out, attribute, data);
    }
    return PPS_ECORRUPT;
}

static int
decode_fields(pps_object_t *object, const msgpack_object *data)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    int error = PPS_OK;

    for (size_t i = 0; i < schema->attribute_count && error == PPS_OK; i++) {
        pps_value_t value;

        memset(&value, 0, sizeof(value));
        error = decode_value(&value, &schema->attributes[i],
                             &data[HEADER_FIELD_COUNT + i]);
        if (error == PPS_OK) {
            error =
                pps_value_store(&object->as, &schema->attributes[i], &value);
        }
        pps_value_clear(&value);
    }
    return error;
}

static int
decode_last_change(pps_object_t *object, const msgpack_object *data,
                   uint64_t catalog_revision)
{
    char *note = NULL;
    int error = decode_text(&note, &data[2]);

    if (error == PPS_OK &&
        (!pps_name_is_plain(note) ||
         data[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
         data[1].via.u64 == 0 || data[1].via.u64 > catalog_revision)) {
        error = PPS_ECORRUPT;
    }
    if (error == PPS_OK) {
        error = pps_object_set_last_change(object, data[1].via.u64, note);
    }
    free(note);
    return error;
}

static int
decode_object(pps_catalog_t *catalog, pps_object_kind_t kind,
              const msgpack_object *data)
{
    const pps_schema_t *schema = pps_schema(kind);
    const msgpack_object *fields = data->via.array.ptr;
    pps_object_t *object = NULL;
    char *name = NULL;
    int error = PPS_ECORRUPT;

    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size != HEADER_FIELD_COUNT + schema->attribute_count) {
        return PPS_ECORRUPT;
    }
    error = decode_text(&name, &fields[0]);
    if (error == PPS_OK && (!schema->is_valid_name(name) ||
                            pps_catalog_find(catalog, kind, name))) {
        error = PPS_ECORRUPT;
    }
    if (error == PPS_OK) {
        error = pps_object_new(&object, kind, name);
    }
    if (error == PPS_OK) {
        error = decode_last_change(object, fields, catalog->revision);
    }
    if (error == PPS_OK) {
        error = decode_fields(object, fields);
    }
    if (error == PPS_OK) {
        pps_catalog_insert(catalog, object);
        object = NULL;
    }
    pps_object_free(object);
    free(name);
    return error;
}

static int
decode_kinds(pps_catalog_t *catalog, const msgpack_object *fields)
{
    int error = PPS_OK;

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        const msgpack_object *table = &fields[1 + kind];

        if (table->type != MSGPACK_OBJECT_ARRAY) {
            return PPS_ECORRUPT;
        }
        for (uint32_t i = 0; i < table->via.array.size && error == PPS_OK;
             i++) {
            error = decode_object(catalog, (pps_object_kind_t)kind,
                                  &table->via.array.ptr[i]);
        }
    }
    return error;
}

static int
check_consistency(const pps_catalog_t *catalog)
{
    pps_findings_t *findings;
    int error = pps_findings_new(&findings);

    if (error < 0) {
        return error;
    }
    pps_catalog_check(catalog, NULL, "", findings);
    if (pps_findings_count(findings) > 0) {
        error = PPS_ECORRUPT;
    }
    pps_findings_free(findings);
    return error;
}

int
pps_catalog_decode(pps_catalog_t **out, const msgpack_object *data)
{
    const msgpack_object *fields = data->via.array.ptr;
    pps_catalog_t *catalog;
    int error;

    if (data->type != MSGPACK_OBJECT_ARRAY ||
        data->via.array.size != 1 + PPS_OBJECT_KIND_COUNT ||
        fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return pps_error_set(PPS_ECORRUPT,
                             "catalog: cannot decode the msgpack data");
    }
    error = pps_catalog_new(&catalog);
    if (error < 0) {
        return error;
    }
    catalog->revision = fields[0].via.u64;
    error = decode_kinds(catalog, fields);
    if (error == PPS_OK) {
        error = check_consistency(catalog);
    }
    if (error < 0) {
        pps_catalog_free(catalog);
        return pps_error_set(error, "catalog: cannot decode the msgpack data");
    }
    pps_catalog_seal(catalog);
    *out = catalog;
    return PPS_OK;
}
