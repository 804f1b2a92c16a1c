/** @file test_mirror_relevance.c @brief Tests which records count for the
 * offsets by which hosts compare their copies. */
#include "mirror_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define STEPS_MAX 12

typedef enum {
    NONE,
    RECORD,  /* a record of the store; without a value it deletes the key */
    RELAYED, /* the same, from another host */
    BEGIN,   /* a listing */
    LISTED,
    FINISH, /* the listing; `offset` is the topic's end when it began */
    PEER,   /* states `offset` as its relevant end, and `end` */
} act_t;

typedef struct {
    act_t act;
    int64_t offset;
    const char *key;
    const char *value; /* of the fixture: "h..." means the same as before */
    int64_t end;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    int64_t relevant_end;
    int64_t end;
    const char *changes;
} case_t;

/* Each case begins with a listing of the key "a" up to 5. */
static const case_t cases[] = {
    {"a value that means the same",
     {{RECORD, 5, "a", "h1"}},
     5,
     6,
     "a=1;a=h1;"},
    {"a value that means the same, but another host found it relevant",
     {{RELAYED, 5, "a", "h1"}},
     6,
     6,
     "a=1;a=h1;"},
    {"an entry that has expired is back",
     {{RECORD, 5, "a", NULL}, {RECORD, 6, "a", "h1"}},
     7,
     7,
     "a=1;a-;a=h1;"},
    {"an entry that a listing lacked is back",
     {{BEGIN}, {FINISH, 7}, {RECORD, 8, "a", "h1"}},
     9,
     9,
     "a=1;a-;a=h1;"},
    {"a key that the copy lacks is deleted",
     {{RECORD, 6, "b", NULL}},
     7,
     7,
     "a=1;b-;"},
    {"an entry that was listed behind the end does not count before it",
     {{BEGIN}, {LISTED, 9, "a", "2"}, {FINISH, 7}},
     7,
     7,
     "a=1;a=2;"},
    {"records before such an entry are not skipped",
     {{BEGIN},
      {LISTED, 9, "a", "2"},
      {FINISH, 7},
      {PEER, 10, .end = 12},
      {RECORD, 8, "b", "1"}},
     9,
     9,
     "a=1;a=2;b=1;"},
    {"the record of such an entry counts",
     {{BEGIN}, {LISTED, 9, "a", "2"}, {FINISH, 7}, {RECORD, 9, "a", "2"}},
     10,
     10,
     "a=1;a=2;"},
    {"a listing in progress does not count",
     {{BEGIN}, {LISTED, 9, "a", "2"}, {PEER, 10, .end = 12}},
     5,
     5,
     "a=1;a=2;"},
};

static void
take_step(pps_mirror_t *mirror, const step_t *step)
{
    size_t size = step->value != NULL ? strlen(step->value) : 0;
    int error = 0;

    switch (step->act) {
    case RECORD:
        error = pps_mirror_apply_record(mirror, step->offset, step->key, 1,
                                        step->value, size);
        break;
    case RELAYED:
        error = pps_mirror_apply_relayed(mirror, step->offset, step->key, 1,
                                         step->value, size);
        break;
    case BEGIN:
        pps_mirror_begin_listing(mirror, 1);
        break;
    case LISTED:
        error = pps_mirror_apply_listed(mirror, step->offset, step->key, 1,
                                        step->value, size);
        break;
    case FINISH:
        error = pps_mirror_end_listing(mirror, step->offset);
        break;
    case PEER:
        pps_mirror_sync_end(mirror, step->offset, step->end);
        break;
    case NONE:
        break;
    }
    cr_expect_eq(error, 0);
}

static void
run_case(const case_t *c)
{
    static const step_t start[] = {
        {BEGIN}, {LISTED, 2, "a", "1"}, {FINISH, 5}};
    mirror_fixture_t f;

    mirror_fixture_start(&f);
    for (size_t i = 0; i < sizeof(start) / sizeof(*start); i++) {
        take_step(f.mirror, &start[i]);
    }
    for (size_t i = 0; i < STEPS_MAX; i++) {
        take_step(f.mirror, &c->steps[i]);
    }
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), c->relevant_end,
                 "%s: relevant end %d", c->name,
                 (int)pps_mirror_relevant_end(f.mirror));
    cr_expect_eq(pps_mirror_end(f.mirror), c->end, "%s: end %d", c->name,
                 (int)pps_mirror_end(f.mirror));
    cr_expect_str_eq(pps_buf_text(&f.changes), c->changes, "%s: %s", c->name,
                     pps_buf_text(&f.changes));
    mirror_fixture_end(&f);
}

/* Guards against hosts that take each other's offsets for proof that they have
 * the same content, although they count other records. */
Test(mirror_relevance, by_record_and_copy)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}
