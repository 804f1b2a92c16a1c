/** @file object.c @brief An upstream, version or workspace of a catalog. */
#include "catalog/object.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

static void
set_public_last_change(pps_object_t *object)
{
    switch (object->kind) {
    case PPS_OBJECT_UPSTREAM:
        object->as.upstream.revision = object->revision;
        object->as.upstream.note = object->note;
        break;
    case PPS_OBJECT_VERSION:
        object->as.version.revision = object->revision;
        object->as.version.note = object->note;
        break;
    default:
        object->as.workspace.revision = object->revision;
        object->as.workspace.note = object->note;
        break;
    }
}

static int
set_public_name(pps_object_t *object)
{
    switch (object->kind) {
    case PPS_OBJECT_UPSTREAM:
        object->as.upstream.name = object->name;
        break;
    case PPS_OBJECT_VERSION:
        object->model = strndup(object->name, strcspn(object->name, "/"));
        if (object->model == NULL) {
            return PPS_ENOMEM;
        }
        object->as.version.name = object->name;
        object->as.version.model = object->model;
        break;
    default:
        object->as.workspace.name = object->name;
        break;
    }
    return PPS_OK;
}

static int
set_default_value(pps_object_t *object, const pps_attribute_t *attribute)
{
    pps_value_t value;
    int error;

    if (attribute->default_value == NULL) {
        return PPS_OK;
    }
    error = pps_value_parse(&value, attribute, attribute->default_value, "", 0,
                            NULL);
    if (error < 0) {
        return error;
    }
    error = pps_value_store(&object->as, attribute, &value);
    pps_value_clear(&value);
    return error;
}

int
pps_object_new(pps_object_t **out, pps_object_kind_t kind, const char *name)
{
    const pps_schema_t *schema = pps_schema(kind);
    pps_object_t *object = calloc(1, sizeof(*object));
    int error = PPS_ENOMEM;

    if (object == NULL) {
        goto done;
    }
    object->kind = kind;
    object->name = strdup(name);
    if (object->name == NULL || set_public_name(object) < 0) {
        goto done;
    }
    error = pps_object_set_last_change(object, 0, "");
    for (size_t i = 0; i < schema->attribute_count && error == PPS_OK; i++) {
        error = set_default_value(object, &schema->attributes[i]);
    }
    if (error == PPS_OK) {
        *out = object;
        object = NULL;
    }

done:
    pps_object_free(object);
    if (error < 0) {
        pps_error_set(error, "object: out of memory");
    }
    return error;
}

int
pps_object_copy(pps_object_t **out, const pps_object_t *object)
{
    const pps_schema_t *schema = pps_schema(object->kind);
    pps_object_t *copy;
    int error = pps_object_new(&copy, object->kind, object->name);

    if (error != PPS_OK) {
        return error;
    }
    error = pps_object_set_last_change(copy, object->revision, object->note);
    for (size_t i = 0; i < schema->attribute_count && error == PPS_OK; i++) {
        pps_value_t value;

        pps_value_load(&value, &schema->attributes[i], &object->as);
        error = pps_value_store(&copy->as, &schema->attributes[i], &value);
    }
    if (error != PPS_OK) {
        pps_object_free(copy);
        return error;
    }
    *out = copy;
    return PPS_OK;
}

void
pps_object_free(pps_object_t *object)
{
    const pps_schema_t *schema;

    if (object == NULL) {
        return;
    }
    schema = pps_schema(object->kind);
    for (size_t i = 0; i < schema->attribute_count; i++) {
        pps_value_release(&object->as, &schema->attributes[i]);
    }
    free(object->name);
    free(object->model);
    free(object->note);
    free(object);
}

int
pps_object_set_last_change(pps_object_t *object, uint64_t revision,
                           const char *note)
{
    char *copy = strdup(note);

    if (copy == NULL) {
        return pps_error_set(PPS_ENOMEM, "object: out of memory");
    }
    free(object->note);
    object->note = copy;
    object->revision = revision;
    set_public_last_change(object);
    return PPS_OK;
}

int
pps_object_equal(const pps_object_t *a, const pps_object_t *b)
{
    const pps_schema_t *schema = pps_schema(a->kind);

    for (size_t i = 0; i < schema->attribute_count; i++) {
        pps_value_t left;
        pps_value_t right;

        pps_value_load(&left, &schema->attributes[i], &a->as);
        pps_value_load(&right, &schema->attributes[i], &b->as);
        if (!pps_value_equal(&schema->attributes[i], &left, &right)) {
            return 0;
        }
    }
    return 1;
}
