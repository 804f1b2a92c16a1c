/** @file value.c @brief Loads, stores, compares and prints values. */
#include "catalog/value.h"

#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const void *
get_field(const void *fields, const pps_attribute_t *attribute)
{
    return (const char *)fields + attribute->offset;
}

void
pps_value_clear(pps_value_t *value)
{
    free(value->name);
    pps_name_list_clear(&value->list);
    memset(value, 0, sizeof(*value));
}

int
pps_value_in_range(const pps_attribute_t *attribute, double number)
{
    int above = attribute->exclusive_minimum ? number > attribute->minimum
                                             : number >= attribute->minimum;

    return above && number <= attribute->maximum;
}

int
pps_value_find_enum(const pps_attribute_t *attribute, const char *name)
{
    for (int i = 0; attribute->enum_names[i] != NULL; i++) {
        if (strcmp(attribute->enum_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

void
pps_value_load(pps_value_t *out, const pps_attribute_t *attribute,
               const void *fields)
{
    const void *field = get_field(fields, attribute);

    memset(out, 0, sizeof(*out));
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        memcpy(&out->name, field, sizeof(out->name));
        break;
    case PPS_VALUE_ENUM:
        memcpy(&out->enum_index, field, sizeof(out->enum_index));
        break;
    case PPS_VALUE_REAL:
        memcpy(&out->real, field, sizeof(out->real));
        break;
    case PPS_VALUE_INTEGER:
        memcpy(&out->integer, field, sizeof(out->integer));
        break;
    case PPS_VALUE_HASH:
        memcpy(out->hash, field, sizeof(out->hash));
        break;
    case PPS_VALUE_LIST:
        memcpy(&out->list, field, sizeof(out->list));
        break;
    }
}

static int
store_name(void *field, const char *name)
{
    char *copy = name ? strdup(name) : NULL;

    if (name != NULL && copy == NULL) {
        return pps_error_set(PPS_ENOMEM, "value: out of memory");
    }
    memcpy(field, &copy, sizeof(copy));
    return PPS_OK;
}

static int
store_list(void *field, const pps_name_list_t *list)
{
    pps_name_list_t copy = {NULL, 0};
    int error = pps_name_list_merge(&copy, list);

    if (error < 0) {
        pps_name_list_clear(&copy);
        return error;
    }
    memcpy(field, &copy, sizeof(copy));
    return PPS_OK;
}

int
pps_value_store(void *fields, const pps_attribute_t *attribute,
                const pps_value_t *value)
{
    void *field = (char *)fields + attribute->offset;

    pps_value_release(fields, attribute);
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        return store_name(field, value->name);
    case PPS_VALUE_ENUM:
        memcpy(field, &value->enum_index, sizeof(value->enum_index));
        break;
    case PPS_VALUE_REAL:
        memcpy(field, &value->real, sizeof(value->real));
        break;
    case PPS_VALUE_INTEGER:
        memcpy(field, &value->integer, sizeof(value->integer));
        break;
    case PPS_VALUE_HASH:
        memcpy(field, value->hash, sizeof(value->hash));
        break;
    case PPS_VALUE_LIST:
        return store_list(field, &value->list);
    }
    return PPS_OK;
}

void
pps_value_release(void *fields, const pps_attribute_t *attribute)
{
    void *field = (char *)fields + attribute->offset;
    pps_value_t value;

    if (attribute->type != PPS_VALUE_NAME &&
        attribute->type != PPS_VALUE_LIST) {
        return;
    }
    pps_value_load(&value, attribute, fields);
    memset(field, 0,
           attribute->type == PPS_VALUE_NAME ? sizeof(value.name)
                                             : sizeof(value.list));
    pps_value_clear(&value);
}

int
pps_value_equal(const pps_attribute_t *attribute, const pps_value_t *a,
                const pps_value_t *b)
{
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        return a->name == b->name ||
               (a->name && b->name && strcmp(a->name, b->name) == 0);
    case PPS_VALUE_ENUM:
        return a->enum_index == b->enum_index;
    case PPS_VALUE_REAL:
        return a->real == b->real;
    case PPS_VALUE_INTEGER:
        return a->integer == b->integer;
    case PPS_VALUE_HASH:
        return memcmp(a->hash, b->hash, sizeof(a->hash)) == 0;
    case PPS_VALUE_LIST:
        return pps_name_list_equal(&a->list, &b->list);
    }
    return 0;
}

static int
print_hash(pps_buf_t *out, const pps_value_t *value)
{
    char hex[2 * PPS_KEY_HASH_BYTES + 1];

    sodium_bin2hex(hex, sizeof(hex), value->hash, sizeof(value->hash));
    return pps_buf_puts(out, hex);
}

static int
print_list(pps_buf_t *out, const pps_name_list_t *list)
{
    int error = PPS_OK;

    for (size_t i = 0; i < list->count && error == PPS_OK; i++) {
        error = pps_buf_printf(out, "%s%s", i > 0 ? ", " : "", list->items[i]);
    }
    return error;
}

int
pps_value_print(pps_buf_t *out, const pps_attribute_t *attribute,
                const pps_value_t *value)
{
    switch (attribute->type) {
    case PPS_VALUE_NAME:
        return pps_buf_puts(out, value->name ? value->name : "");
    case PPS_VALUE_ENUM:
        return pps_buf_puts(out, attribute->enum_names[value->enum_index]);
    case PPS_VALUE_REAL:
        return pps_buf_printf(out, "%.15g", value->real);
    case PPS_VALUE_INTEGER:
        return pps_buf_printf(out, "%" PRId64, value->integer);
    case PPS_VALUE_HASH:
        return print_hash(out, value);
    case PPS_VALUE_LIST:
        return print_list(out, &value->list);
    }
    return PPS_OK;
}
