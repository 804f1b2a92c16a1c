/** @file mirror_fixture.h @brief A mirror that writes its changes to a text.
 */
#ifndef PPS_TESTS_ENTRY_MIRROR_FIXTURE_H
#define PPS_TESTS_ENTRY_MIRROR_FIXTURE_H

#include "mirror/mirror.h"

/** A mirror and its changes: "key=value;" or "key-;" each, and "key missed;"
 * if its record had been missed. Values that begin
 * with 'h' mean the same as any value before them. */
typedef struct {
    pps_buf_t changes;
    pps_mirror_t *mirror;
} mirror_fixture_t;

/** Creates the mirror. */
void
mirror_fixture_start(mirror_fixture_t *fixture);

/** Frees the mirror and the text. */
void
mirror_fixture_end(mirror_fixture_t *fixture);

/** Applies a record; fails the test on an error. @param value NULL deletes */
void
mirror_fixture_apply(pps_mirror_t *mirror, int64_t offset, const char *key,
                     const char *value);

#endif
