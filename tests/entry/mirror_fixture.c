/** @file mirror_fixture.c @brief A mirror that writes its changes to a text.
 */
#include "mirror_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

/* Records each change. */
static void
on_changed(pps_mirror_relevance_t *out, void *user, const char *key,
           const char *value, size_t size)
{
    pps_buf_printf(user, "%s%s%.*s;", key, value ? "=" : "-", (int)size,
                   value ? value : "");
    if (value != NULL) {
        out->meaning = 1;
        out->is_needed = value[0] != 'h';
    }
}

static void
on_missed(void *user, const pps_mirror_t *mirror, const char *key,
          int64_t offset)
{
    pps_buf_printf(user, "%s missed;", key);
}

static const pps_mirror_ops_t ops = {.on_changed = on_changed,
                                     .on_missed = on_missed};

void
mirror_fixture_start(mirror_fixture_t *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    cr_assert_eq(pps_mirror_new(&fixture->mirror, &ops, &fixture->changes), 0);
}

void
mirror_fixture_end(mirror_fixture_t *fixture)
{
    pps_mirror_free(fixture->mirror);
    pps_buf_clear(&fixture->changes);
}

void
mirror_fixture_apply(pps_mirror_t *mirror, int64_t offset, const char *key,
                     const char *value)
{
    cr_assert_eq(pps_mirror_apply_record(mirror, offset, key, strlen(key),
                                         value, value ? strlen(value) : 0),
                 0);
}
