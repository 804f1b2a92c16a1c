/** @file catalog_encode.c @brief Encodes a catalog as msgpack. */
#include "catalog/catalog_codec.h"

#include "catalog/catalog_private.h"
#include "papayaswitch/errors.h"

#include <string.h>

/* Name, revision and note precede the attributes. */
#define HEADER_FIELD_COUNT 3

static int
encode_text(msgpack_packer *packer, const char *text)
{
    return msgpack_pack_str_with_body(packer, text, strlen(text));
}

static int
encode_list(msgpack_packer *packer, const pps_name_list_t *list)
{
    int failed = msgpack_pack_array(packer, list->count);

    for (size_t i = 0; i < list->count && !failed; i++) {
        failed = encode_text(packer, list->items[i]);
    }
    return failed;
}

static int
encode_value(msgpack_packer *packer, const pps_attribute_t *attribute,
             const pps_value_t *value)
{
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        return encode_text(packer, value->name ? value->name : "");
    case PPS_VALUE_ENUM:
        return msgpack_pack_int(packer, value->enum_index);
    case PPS_VALUE_REAL:
        return msgpack_pack_double(packer, value->real);
    case PPS_VALUE_INTEGER:
        return msgpack_pack_int64(packer, value->integer);
    case PPS_VALUE_HASH:
        return msgpack_pack_bin_with_body(packer, value->hash,
                                          sizeof(value->hash));
    case PPS_VALUE_LIST:
        return encode_list(packer, &value->list);
    }
    return 0;
}

static int
encode_object(msgpack_packer *packer, const pps_object_t *object)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    int failed = msgpack_pack_array(packer, HEADER_FIELD_COUNT +
                                                schema->attribute_count) ||
                 encode_text(packer, object->name) ||
                 msgpack_pack_uint64(packer, object->revision) ||
                 encode_text(packer, object->note);

    for (size_t i = 0; i < schema->attribute_count && !failed; i++) {
        pps_value_t value;

        pps_value_load(&value, &schema->attributes[i], &object->as);
        failed = encode_value(packer, &schema->attributes[i], &value);
    }
    return failed;
}

static int
encode_kind(msgpack_packer *packer, const pps_object_t *table)
{
    int failed = msgpack_pack_array(packer, HASH_COUNT(table));

    for (; table != NULL && !failed; table = table->hh.next) {
        failed = encode_object(packer, table);
    }
    return failed;
}

int
pps_catalog_encode(msgpack_packer *packer, const pps_catalog_t *catalog)
{
    int failed = msgpack_pack_array(packer, 1 + PPS_OBJECT_KIND_COUNT) ||
                 msgpack_pack_uint64(packer, catalog->revision);

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT && !failed; kind++) {
        failed = encode_kind(packer, catalog->objects[kind]);
    }
    return failed ? pps_error_set(PPS_ENOMEM, "catalog: out of memory")
                  : PPS_OK;
}

static int
count_bytes(void *user, const char *data, size_t size)
{
    size_t *sum = user;

    *sum += size;
    return 0;
}

int
pps_catalog_encoded_size(size_t *out, const pps_catalog_t *catalog)
{
    msgpack_packer packer;

    *out = 0;
    msgpack_packer_init(&packer, out, count_bytes);
    return pps_catalog_encode(&packer, catalog);
}
