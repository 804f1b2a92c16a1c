/** @file attribute.c @brief Tables of the keys of each kind of object. */
#include "catalog/attribute.h"

#include "catalog/name.h"
#include "papayaswitch/errors.h"

#include <assert.h>
#include <float.h>
#include <string.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* Parts of findings, whose texts must not change: see catalog_check.c. */
#define PLAIN_NAME_FORMAT "1 to 40 characters of [a-z0-9._-]"
#define VERSION_NAME_FORMAT                                                   \
    "MODEL/NAME, each of [a-z0-9._-], 40 characters in all"
#define PATH_FORMAT "a path that starts with '/'"

#define SESSION_IDLE_S_MAX (30 * 24 * 3600)

static_assert(sizeof(pps_version_state_t) == sizeof(int), "enum size");
static_assert(sizeof(pps_upstream_kind_t) == sizeof(int), "enum size");
static_assert(offsetof(pps_workspace_t, allow_count) ==
                  offsetof(pps_workspace_t, allow) + sizeof(char **),
              "list layout");
static_assert(offsetof(pps_workspace_t, service_count) ==
                  offsetof(pps_workspace_t, services) + sizeof(char **),
              "list layout");
static_assert(offsetof(pps_upstream_t, idempotent_count) ==
                  offsetof(pps_upstream_t, idempotent) + sizeof(char **),
              "list layout");

static const char *const state_names[] = {"active", "retiring", "withdrawn",
                                          NULL};
static const char *const kind_names[] = {"engine", "service", NULL};
static const char *const boolean_names[] = {"no", "yes", NULL};

static const pps_attribute_t upstream_attributes[] = {
    {.key = "kind",
     .type = PPS_VALUE_ENUM,
     .offset = offsetof(pps_upstream_t, kind),
     .enum_names = kind_names},
    {.key = "checks_fencing",
     .type = PPS_VALUE_ENUM,
     .offset = offsetof(pps_upstream_t, checks_fencing),
     .default_value = "no",
     .enum_names = boolean_names},
    {.key = "idempotent",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_upstream_t, idempotent),
     .default_value = "",
     .is_valid_item = pps_name_is_path,
     .item_format = PATH_FORMAT},
};

static const pps_attribute_t version_attributes[] = {
    {.key = "upstream",
     .type = PPS_VALUE_NAME,
     .offset = offsetof(pps_version_t, upstream),
     .is_valid_item = pps_name_is_plain,
     .item_format = PLAIN_NAME_FORMAT,
     .is_reference = 1,
     .target_kind = PPS_OBJECT_UPSTREAM,
     .target_upstream_kind = PPS_UPSTREAM_ENGINE},
    {.key = "state",
     .type = PPS_VALUE_ENUM,
     .offset = offsetof(pps_version_t, state),
     .default_value = "active",
     .enum_names = state_names},
    {.key = "cost",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, cost),
     .maximum = DBL_MAX,
     .exclusive_minimum = 1},
    {.key = "quality",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, quality),
     .maximum = 1},
    {.key = "exposure",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, exposure),
     .default_value = "1",
     .maximum = 1,
     .exclusive_minimum = 1},
};

static const pps_attribute_t workspace_attributes[] = {
    {.key = "key_hash",
     .type = PPS_VALUE_HASH,
     .offset = offsetof(pps_workspace_t, key_hash)},
    {.key = "quality_target",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_workspace_t, quality_target),
     .default_value = "0.5",
     .maximum = 1},
    {.key = "weight",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_workspace_t, weight),
     .default_value = "1",
     .maximum = DBL_MAX,
     .exclusive_minimum = 1},
    {.key = "session_idle_s",
     .type = PPS_VALUE_INTEGER,
     .offset = offsetof(pps_workspace_t, session_idle_s),
     .default_value = "3600",
     .minimum = 1,
     .maximum = SESSION_IDLE_S_MAX},
    {.key = "allow",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_workspace_t, allow),
     .default_value = "",
     .is_valid_item = pps_name_is_version,
     .item_format = VERSION_NAME_FORMAT,
     .is_reference = 1,
     .target_kind = PPS_OBJECT_VERSION},
    {.key = "services",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_workspace_t, services),
     .default_value = "",
     .is_valid_item = pps_name_is_plain,
     .item_format = PLAIN_NAME_FORMAT,
     .is_reference = 1,
     .target_kind = PPS_OBJECT_UPSTREAM,
     .target_upstream_kind = PPS_UPSTREAM_SERVICE},
};

static const pps_schema_t schemas[PPS_OBJECT_KIND_COUNT] = {
    [PPS_OBJECT_UPSTREAM] = {"upstream", "upstreams", pps_name_is_plain,
                             PLAIN_NAME_FORMAT, upstream_attributes,
                             COUNT_OF(upstream_attributes)},
    [PPS_OBJECT_VERSION] = {"version", "versions", pps_name_is_version,
                            VERSION_NAME_FORMAT, version_attributes,
                            COUNT_OF(version_attributes)},
    [PPS_OBJECT_WORKSPACE] = {"workspace", "workspaces", pps_name_is_plain,
                              PLAIN_NAME_FORMAT, workspace_attributes,
                              COUNT_OF(workspace_attributes)},
};

const pps_schema_t *
pps_schema(pps_object_kind_t kind)
{
    return &schemas[kind];
}

int
pps_schema_find(pps_object_kind_t *out, const char *singular, size_t size)
{
    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        if (strlen(schemas[kind].singular) == size &&
            memcmp(schemas[kind].singular, singular, size) == 0) {
            *out = (pps_object_kind_t)kind;
            return PPS_OK;
        }
    }
    return PPS_ENOTFOUND;
}

const pps_attribute_t *
pps_schema_attribute(const pps_schema_t *schema, const char *key, size_t size)
{
    for (size_t i = 0; i < schema->attribute_count; i++) {
        const pps_attribute_t *attribute = &schema->attributes[i];

        if (strlen(attribute->key) == size &&
            memcmp(attribute->key, key, size) == 0) {
            return attribute;
        }
    }
    return NULL;
}
