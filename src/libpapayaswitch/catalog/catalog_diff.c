/** @file catalog_diff.c @brief Reports differences between two catalogs. */
#include "catalog/catalog_private.h"

#include "papayaswitch/errors.h"

typedef struct {
    void (*on_line)(const char *text, void *user);
    void *user;
} line_output_t;

static int
emit_line(const line_output_t *output, pps_buf_t *text)
{
    int error = text->failed ? PPS_ENOMEM : PPS_OK;

    if (error == PPS_OK) {
        output->on_line(pps_buf_text(text), output->user);
    }
    pps_buf_clear(text);
    return error;
}

static int
emit_object_change(const line_output_t *output, const pps_object_t *object,
                   const char *change)
{
    pps_buf_t text = PPS_BUF_INIT;

    pps_buf_printf(&text, "%s %s: %s", pps_schema(object->kind)->singular,
                   object->name, change);
    return emit_line(output, &text);
}

static int
diff_value(const line_output_t *output, const pps_object_t *before,
           const pps_object_t *after, const pps_attribute_t *attribute)
{
    pps_buf_t text = PPS_BUF_INIT;
    pps_value_t old;
    pps_value_t new;

    pps_value_load(&new, attribute, &after->as);
    pps_buf_printf(&text, "%s %s: %s ", pps_schema(after->kind)->singular,
                   after->name, attribute->key);
    if (before != NULL) {
        pps_value_load(&old, attribute, &before->as);
        if (pps_value_equal(attribute, &old, &new)) {
            pps_buf_clear(&text);
            return PPS_OK;
        }
        pps_value_print(&text, attribute, &old);
        pps_buf_puts(&text, " -> ");
    }
    pps_value_print(&text, attribute, &new);
    return emit_line(output, &text);
}

static int
diff_object(const line_output_t *output, const pps_object_t *before,
            const pps_object_t *after)
{
    const pps_schema_t *schema = pps_schema(after->kind);
    int error = PPS_OK;

    if (before == NULL) {
        error = emit_object_change(output, after, "added");
    }
    for (size_t i = 0; i < schema->attribute_count && error == PPS_OK; i++) {
        error = diff_value(output, before, after, &schema->attributes[i]);
    }
    return error;
}

static int
diff_kind(const line_output_t *output, const pps_catalog_t *before,
          const pps_catalog_t *after, pps_object_kind_t kind)
{
    const pps_object_t *object;
    int error = PPS_OK;

    for (object = after->objects[kind]; object != NULL && error == PPS_OK;
         object = object->hh.next) {
        error = diff_object(
            output, pps_catalog_find(before, kind, object->name), object);
    }
    for (object = before->objects[kind]; object != NULL && error == PPS_OK;
         object = object->hh.next) {
        if (pps_catalog_find(after, kind, object->name) == NULL) {
            error = emit_object_change(output, object, "removed");
        }
    }
    return error;
}

int
pps_catalog_diff(const pps_catalog_t *before, const pps_catalog_t *after,
                 void (*on_line)(const char *text, void *user), void *user)
{
    line_output_t output = {on_line, user};
    int error = PPS_OK;

    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT && error == PPS_OK;
         kind++) {
        error = diff_kind(&output, before, after, (pps_object_kind_t)kind);
    }
    return error;
}
