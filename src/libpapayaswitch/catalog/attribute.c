/** @file attribute.c @brief The keys of each kind of object. */
#include "catalog/attribute.h"

#include "catalog/name.h"
#include "papayaswitch/errors.h"

#include <assert.h>
#include <float.h>
#include <string.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

#define PLAIN_FORM "1 to 40 characters of [a-z0-9._-]"
#define VERSION_FORM "MODEL/NAME, each of [a-z0-9._-], 40 characters in all"
#define PATH_FORM "a path that starts with '/'"

#define SESSION_IDLE_S_MAX (30 * 24 * 3600)

static_assert(sizeof(pps_version_state_t) == sizeof(int), "word size");
static_assert(sizeof(pps_upstream_kind_t) == sizeof(int), "word size");
static_assert(offsetof(pps_workspace_t, allow_count) ==
                  offsetof(pps_workspace_t, allow) + sizeof(char **),
              "list layout");
static_assert(offsetof(pps_workspace_t, service_count) ==
                  offsetof(pps_workspace_t, services) + sizeof(char **),
              "list layout");
static_assert(offsetof(pps_upstream_t, idempotent_count) ==
                  offsetof(pps_upstream_t, idempotent) + sizeof(char **),
              "list layout");

static const char *const state_words[] = {"active", "retiring", "withdrawn",
                                          NULL};
static const char *const kind_words[] = {"engine", "service", NULL};
static const char *const truth_words[] = {"no", "yes", NULL};

static const pps_attribute_t upstream_attributes[] = {
    {.key = "kind",
     .type = PPS_VALUE_WORD,
     .offset = offsetof(pps_upstream_t, kind),
     .words = kind_words},
    {.key = "checks_fencing",
     .type = PPS_VALUE_WORD,
     .offset = offsetof(pps_upstream_t, checks_fencing),
     .fallback = "no",
     .words = truth_words},
    {.key = "idempotent",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_upstream_t, idempotent),
     .fallback = "",
     .is_item = pps_name_is_path,
     .item_form = PATH_FORM},
};

static const pps_attribute_t version_attributes[] = {
    {.key = "upstream",
     .type = PPS_VALUE_NAME,
     .offset = offsetof(pps_version_t, upstream),
     .is_item = pps_name_is_plain,
     .item_form = PLAIN_FORM,
     .refers = 1,
     .target_kind = PPS_OBJECT_UPSTREAM,
     .target_word = PPS_UPSTREAM_ENGINE},
    {.key = "state",
     .type = PPS_VALUE_WORD,
     .offset = offsetof(pps_version_t, state),
     .fallback = "active",
     .words = state_words},
    {.key = "cost",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, cost),
     .most = DBL_MAX,
     .above_least = 1},
    {.key = "quality",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, quality),
     .most = 1},
    {.key = "exposure",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_version_t, exposure),
     .fallback = "1",
     .most = 1,
     .above_least = 1},
};

static const pps_attribute_t workspace_attributes[] = {
    {.key = "key_hash",
     .type = PPS_VALUE_HASH,
     .offset = offsetof(pps_workspace_t, key_hash)},
    {.key = "quality_target",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_workspace_t, quality_target),
     .fallback = "0.5",
     .most = 1},
    {.key = "weight",
     .type = PPS_VALUE_REAL,
     .offset = offsetof(pps_workspace_t, weight),
     .fallback = "1",
     .most = DBL_MAX,
     .above_least = 1},
    {.key = "session_idle_s",
     .type = PPS_VALUE_INTEGER,
     .offset = offsetof(pps_workspace_t, session_idle_s),
     .fallback = "3600",
     .least = 1,
     .most = SESSION_IDLE_S_MAX},
    {.key = "allow",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_workspace_t, allow),
     .fallback = "",
     .is_item = pps_name_is_version,
     .item_form = VERSION_FORM,
     .refers = 1,
     .target_kind = PPS_OBJECT_VERSION},
    {.key = "services",
     .type = PPS_VALUE_LIST,
     .offset = offsetof(pps_workspace_t, services),
     .fallback = "",
     .is_item = pps_name_is_plain,
     .item_form = PLAIN_FORM,
     .refers = 1,
     .target_kind = PPS_OBJECT_UPSTREAM,
     .target_word = PPS_UPSTREAM_SERVICE},
};

static const pps_schema_t schemas[PPS_OBJECT_KIND_COUNT] = {
    [PPS_OBJECT_UPSTREAM] = {"upstream", "upstreams", pps_name_is_plain,
                             PLAIN_FORM, upstream_attributes,
                             COUNT_OF(upstream_attributes)},
    [PPS_OBJECT_VERSION] = {"version", "versions", pps_name_is_version,
                            VERSION_FORM, version_attributes,
                            COUNT_OF(version_attributes)},
    [PPS_OBJECT_WORKSPACE] = {"workspace", "workspaces", pps_name_is_plain,
                              PLAIN_FORM, workspace_attributes,
                              COUNT_OF(workspace_attributes)},
};

const pps_schema_t *
pps_schema(pps_object_kind_t kind)
{
    return &schemas[kind];
}

int
pps_schema_find(pps_object_kind_t *out, const char *word, size_t size)
{
    for (int kind = 0; kind < PPS_OBJECT_KIND_COUNT; kind++) {
        if (strlen(schemas[kind].word) == size &&
            memcmp(schemas[kind].word, word, size) == 0) {
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
