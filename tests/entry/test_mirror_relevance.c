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
    BEGIN,   /* a listing; `offset` is the topic's end then */
    LISTED,
    FINISH,
    PEER, /* states `offset` as its relevant end, and `end` */
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
    int64_t required_end;
    const char *changes;
} case_t;

/* Each case begins with a listing of the key "a" up to 5. */
static const case_t cases[] = {
    {"a value that means the same",
     {{RECORD, 5, "a", "h1"}},
     5,
     6,
     5,
     "a=1;a=h1;"},
    {"a value that means the same, but another host found it relevant",
     {{RELAYED, 5, "a", "h1"}},
     6,
     6,
     6,
     "a=1;a=h1;"},
    {"an entry that has expired is back",
     {{RECORD, 5, "a", NULL}, {RECORD, 6, "a", "h1"}},
     7,
     7,
     7,
     "a=1;a-;a=h1;"},
    {"an entry that a listing lacked is back",
     {{BEGIN, 7}, {FINISH}, {RECORD, 8, "a", "h1"}},
     9,
     9,
     9,
     "a=1;a-;a=h1;"},
    {"a key that the copy lacks is deleted",
     {{RECORD, 6, "b", NULL}},
     7,
     7,
     7,
     "a=1;b-;"},
    {"an entry that was listed behind the end does not count before it",
     {{BEGIN, 7}, {LISTED, 9, "a", "2"}, {FINISH}},
     7,
     7,
     7,
     "a=1;a=2;"},
    {"records before such an entry are not skipped",
     {{BEGIN, 7},
      {LISTED, 9, "a", "2"},
      {FINISH},
      {PEER, 10, .end = 12},
      {RECORD, 8, "b", "1"}},
     9,
     9,
     9,
     "a=1;a=2;b=1;"},
    {"the record of such an entry counts",
     {{BEGIN, 7}, {LISTED, 9, "a", "2"}, {FINISH}, {RECORD, 9, "a", "2"}},
     10,
     10,
     10,
     "a=1;a=2;"},
    {"a listing in progress does not count",
     {{BEGIN, 8}, {LISTED, 9, "a", "2"}, {PEER, 10, .end = 12}},
     5,
     5,
     5,
     "a=1;a=2;"},
    {"a listing that finds nothing changed",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}},
     5,
     9,
     9,
     "a=1;a=h1;"},
    {"a peer that had the same before it has the same",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}, {PEER, 5, .end = 20}},
     5,
     20,
     9,
     "a=1;a=h1;"},
    {"a peer has read a part of what it covers",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}, {PEER, 7, .end = 7}},
     9,
     9,
     9,
     "a=1;a=h1;"},
    {"a peer has read a part of what two of them cover",
     {{BEGIN, 9},
      {LISTED, 7, "a", "h1"},
      {FINISH},
      {BEGIN, 14},
      {LISTED, 7, "a", "h1"},
      {FINISH},
      {PEER, 7, .end = 7}},
     14,
     14,
     14,
     "a=1;a=h1;"},
    {"a peer lacks more than it covers",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}, {PEER, 4, .end = 7}},
     5,
     9,
     9,
     "a=1;a=h1;"},
    {"a peer has more than it covers",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}, {PEER, 12, .end = 12}},
     5,
     9,
     9,
     "a=1;a=h1;"},
    {"a record after it is relevant",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {FINISH}, {RECORD, 10, "b", "1"}},
     11,
     11,
     11,
     "a=1;a=h1;b=1;"},
    {"a listing that another host's end has overtaken keeps the keys",
     {{BEGIN, 9}, {PEER, 5, .end = 12}, {FINISH}},
     5,
     12,
     5,
     "a=1;"},
    {"and adds none",
     {{BEGIN, 9}, {PEER, 5, .end = 12}, {LISTED, 8, "b", "1"}, {FINISH}},
     5,
     12,
     5,
     "a=1;"},
    {"but those that are newer than that end",
     {{BEGIN, 9}, {PEER, 5, .end = 12}, {LISTED, 14, "b", "1"}, {FINISH}},
     9,
     12,
     9,
     "a=1;b=1;"},
    {"a page that was sent before the copy's end",
     {{RECORD, 12, "a", NULL}, {BEGIN, 9}, {LISTED, 2, "a", "1"}, {FINISH}},
     13,
     13,
     13,
     "a=1;a-;"},
    {"a listing that is not overtaken mends the copy",
     {{BEGIN, 9}, {LISTED, 1, "b", "1"}, {FINISH}},
     9,
     9,
     9,
     "a=1;b=1;b missed;a-;"},
    {"a listing of a copy that moves on meanwhile counts",
     {{BEGIN, 9}, {LISTED, 7, "a", "h1"}, {PEER, 5, .end = 8}, {FINISH}},
     9,
     9,
     9,
     "a=1;a=h1;"},
    {"a listing of what was listed behind the end counts",
     {{BEGIN, 7},
      {LISTED, 9, "a", "2"},
      {FINISH},
      {BEGIN, 12},
      {LISTED, 9, "a", "2"},
      {FINISH}},
     12,
     12,
     12,
     "a=1;a=2;"},
    {"a listing that is behind the copy",
     {{RECORD, 8, "a", "h1"}, {BEGIN, 7}, {LISTED, 8, "a", "h1"}, {FINISH}},
     5,
     9,
     5,
     "a=1;a=h1;"},
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
        pps_mirror_begin_listing(mirror, 1, step->offset);
        break;
    case LISTED:
        error = pps_mirror_apply_listed(mirror, step->offset, step->key, 1,
                                        step->value, size);
        break;
    case FINISH:
        error = pps_mirror_end_listing(mirror);
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
start(mirror_fixture_t *f)
{
    static const step_t steps[] = {
        {BEGIN, 5}, {LISTED, 2, "a", "1"}, {FINISH}};

    mirror_fixture_start(f);
    for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
        take_step(f->mirror, &steps[i]);
    }
}

static void
run_case(const case_t *c)
{
    mirror_fixture_t f;

    start(&f);
    for (size_t i = 0; i < STEPS_MAX; i++) {
        take_step(f.mirror, &c->steps[i]);
    }
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), c->relevant_end,
                 "%s: relevant end %d", c->name,
                 (int)pps_mirror_relevant_end(f.mirror));
    cr_expect_eq(pps_mirror_end(f.mirror), c->end, "%s: end %d", c->name,
                 (int)pps_mirror_end(f.mirror));
    cr_expect_eq(pps_mirror_required_end(f.mirror), c->required_end,
                 "%s: required end %d", c->name,
                 (int)pps_mirror_required_end(f.mirror));
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

/* Sends a copy's ends and, if the other one is behind, its content. */
static void
tell(pps_mirror_t *from, pps_mirror_t *to)
{
    pps_buf_t copy = PPS_BUF_INIT;

    pps_mirror_sync_end(to, pps_mirror_relevant_end(from),
                        pps_mirror_end(from));
    if (pps_mirror_relevant_end(from) > pps_mirror_end(to)) {
        cr_assert_eq(pps_mirror_encode(from, &copy), 0);
        cr_expect_eq(pps_mirror_import(to, copy.data, copy.size), 0);
    }
    pps_buf_clear(&copy);
}

/* Guards against a host that has read that a key was deleted, and never learns
 * that it was written again: the reader has listed the topic instead. */
Test(mirror_relevance, a_host_between_two_changes_learns_of_the_second)
{
    mirror_fixture_t reader;
    mirror_fixture_t listener;
    size_t size;

    start(&reader);
    start(&listener);
    mirror_fixture_apply(listener.mirror, 6, "a", NULL);
    pps_mirror_begin_listing(reader.mirror, 1, 9);
    pps_mirror_apply_listed(reader.mirror, 7, "a", 1, "h1", 2);
    cr_expect_eq(pps_mirror_end_listing(reader.mirror), 0);
    tell(reader.mirror, listener.mirror);
    tell(listener.mirror, reader.mirror);
    tell(reader.mirror, listener.mirror);
    cr_expect_not_null(pps_mirror_get(&size, listener.mirror, "a"));
    cr_expect_eq(pps_mirror_end(listener.mirror), 9);
    mirror_fixture_end(&reader);
    mirror_fixture_end(&listener);
}

/* Guards against a copy that is on its way while its receiver moves on: it
 * lacks a key that was written again since. */
Test(mirror_relevance, copies_older_than_the_content_change_nothing)
{
    mirror_fixture_t sender;
    mirror_fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;
    size_t size;

    start(&sender);
    start(&f);
    mirror_fixture_apply(sender.mirror, 6, "a", NULL);
    cr_assert_eq(pps_mirror_encode(sender.mirror, &copy), 0);
    pps_mirror_sync_end(f.mirror, 5, 9);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    cr_expect_not_null(pps_mirror_get(&size, f.mirror, "a"));
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 5);
    pps_buf_clear(&copy);
    cr_assert_eq(pps_mirror_encode_changes(sender.mirror, 1, 5, &copy), 0);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    cr_expect_not_null(pps_mirror_get(&size, f.mirror, "a"));
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 5);
    pps_buf_clear(&copy);
    mirror_fixture_end(&sender);
    mirror_fixture_end(&f);
}

/* Guards against a key that has been deleted and that a host keeps, as another
 * host's copy with it came while this one listed the topic. */
Test(mirror_relevance, listing_deletes_keys_of_a_copy_that_came_meanwhile)
{
    mirror_fixture_t sender;
    mirror_fixture_t f;
    pps_buf_t copy = PPS_BUF_INIT;
    size_t size;

    start(&sender);
    start(&f);
    mirror_fixture_apply(sender.mirror, 6, "b", "1");
    cr_assert_eq(pps_mirror_encode(sender.mirror, &copy), 0);
    pps_mirror_begin_listing(f.mirror, 1, 9);
    pps_mirror_apply_listed(f.mirror, 2, "a", 1, "1", 1);
    cr_expect_eq(pps_mirror_import(f.mirror, copy.data, copy.size), 0);
    cr_expect_not_null(pps_mirror_get(&size, f.mirror, "b"));
    cr_expect_eq(pps_mirror_end_listing(f.mirror), 0);
    cr_expect_null(pps_mirror_get(&size, f.mirror, "b"));
    cr_expect_not_null(pps_mirror_get(&size, f.mirror, "a"));
    cr_expect_eq(pps_mirror_relevant_end(f.mirror), 9);
    pps_buf_clear(&copy);
    mirror_fixture_end(&sender);
    mirror_fixture_end(&f);
}
