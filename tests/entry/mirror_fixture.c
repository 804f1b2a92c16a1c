/** @file mirror_fixture.c @brief A mirror that writes its changes to a text.
 */
#include "mirror_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

/* Records each change; values that begin with 'h' are not relevant. */
static int
on_changed(void *user, const char *key, const char *value, size_t size)
{
    pps_buf_printf(user, "%s%s%.*s;", key, value ? "=" : "-", (int)size,
                   value ? value : "");
    return value == NULL || value[0] != 'h';
}

void
mirror_fixture_start(mirror_fixture_t *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    cr_assert_eq(
        pps_mirror_new(&fixture->mirror, on_changed, &fixture->changes), 0);
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
