/** @file test_config_fold.c @brief Tests of the fold of the config stream. */
#include "papayaswitch/config_fold.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 80
#define RUNS 60
#define NOTE_BYTES 600

/* Encoded records of a stream, in the order of their offsets. */
typedef struct {
    void *data[RECORDS_MAX];
    size_t sizes[RECORDS_MAX];
    size_t count;
} stream_t;

static void
stream_append(stream_t *stream, pps_record_kind_t kind, const void *payload,
              size_t size)
{
    cr_assert_lt(stream->count, RECORDS_MAX);
    cr_assert_eq(pps_record_encode(&stream->data[stream->count],
                                   &stream->sizes[stream->count], kind,
                                   payload, size),
                 0);
    stream->count++;
}

static void
stream_note(stream_t *stream, const char *text)
{
    stream_append(stream, PPS_RECORD_NOTE, text, strlen(text));
}

static void
stream_free(stream_t *stream)
{
    for (size_t i = 0; i < stream->count; i++) {
        free(stream->data[i]);
    }
}

static int
fold_at(pps_config_fold_t *fold, const stream_t *stream, size_t offset)
{
    pps_log_entry_t entry = {.offset = offset,
                             .data = stream->data[offset],
                             .size = stream->sizes[offset]};

    return pps_config_fold_apply(fold, &entry);
}

static pps_config_fold_t *
fold_all(const stream_t *stream)
{
    pps_config_fold_t *fold;

    cr_assert_eq(pps_config_fold_new(&fold), 0);
    for (size_t i = 0; i < stream->count; i++) {
        cr_assert_eq(fold_at(fold, stream, i), 0);
    }
    return fold;
}

/* The few ids and objects make repeated ids and conflicts frequent. */
static void
append_random_note(stream_t *stream, pps_rng_t *rng, uint64_t revision)
{
    char text[NOTE_BYTES];
    uint64_t base = revision - pps_rng_below(rng, revision < 3 ? 1 : 3);
    unsigned int object = (unsigned int)pps_rng_below(rng, 4);

    snprintf(text, sizeof(text),
             "[note]\nid = n%u\nbase = %llu\n"
             "[upstream p%u]\nkind = engine\nidempotent = /%u\n"
             "[version m/%u]\nupstream = p%u\ncost = %u\nquality = 0.5\n"
             "state = %s\n",
             (unsigned int)pps_rng_below(rng, 40), (unsigned long long)base,
             object, (unsigned int)pps_rng_below(rng, 3), object, object,
             1 + (unsigned int)pps_rng_below(rng, 3),
             pps_rng_below(rng, 2) ? "active" : "withdrawn");
    stream_note(stream, text);
}

static void
append_random(stream_t *stream, pps_rng_t *rng, const pps_config_fold_t *fold,
              void *const *checkpoints, const size_t *sizes)
{
    size_t old = pps_rng_below(rng, pps_config_fold_next(fold) + 1);

    switch (pps_rng_below(rng, 8)) {
    case 0:
        stream_append(stream, PPS_RECORD_BILLS, "x", 1);
        break;
    case 1:
        stream_append(stream, PPS_RECORD_NOTE, "[note", 5);
        ((char *)stream->data[stream->count - 1])[3] ^= 1;
        break;
    case 2:
    case 3:
        stream_append(stream, PPS_RECORD_CONFIG_CHECKPOINT, checkpoints[old],
                      sizes[old]);
        break;
    default:
        append_random_note(
            stream, rng, pps_catalog_revision(pps_config_fold_catalog(fold)));
        break;
    }
}

static void
expect_same(const pps_config_fold_t *fold, const void *bytes, size_t size,
            uint64_t seed)
{
    void *own;
    size_t own_size;

    cr_assert_eq(pps_config_fold_checkpoint(fold, &own, &own_size), 0);
    cr_expect(own_size == size && memcmp(own, bytes, size) == 0,
              "seed %llu, offset %llu", (unsigned long long)seed,
              (unsigned long long)pps_config_fold_next(fold));
    free(own);
}

static void
run_random(uint64_t seed, uint64_t *accepted)
{
    void *checkpoints[RECORDS_MAX + 1];
    size_t sizes[RECORDS_MAX + 1];
    stream_t stream = {.count = 0};
    pps_config_fold_t *fold;
    pps_rng_t rng;

    pps_rng_init(&rng, seed);
    cr_assert_eq(pps_config_fold_new(&fold), 0);
    cr_assert_eq(pps_config_fold_checkpoint(fold, &checkpoints[0], &sizes[0]),
                 0);
    for (size_t i = 0; i < RECORDS_MAX; i++) {
        uint64_t before = pps_catalog_revision(pps_config_fold_catalog(fold));

        append_random(&stream, &rng, fold, checkpoints, sizes);
        cr_assert_eq(fold_at(fold, &stream, i), 0);
        cr_expect_geq(pps_catalog_revision(pps_config_fold_catalog(fold)),
                      before);
        cr_assert_eq(pps_config_fold_checkpoint(fold, &checkpoints[i + 1],
                                                &sizes[i + 1]),
                     0);
    }
    cr_expect_eq(pps_config_fold_mismatches(fold), 0, "seed %llu",
                 (unsigned long long)seed);
    *accepted += pps_catalog_revision(pps_config_fold_catalog(fold));
    pps_config_fold_free(fold);
    for (size_t start = 0; start <= RECORDS_MAX; start += 7) {
        cr_assert_eq(
            pps_config_fold_restore(&fold, checkpoints[start], sizes[start]),
            0);
        for (size_t i = start; i < RECORDS_MAX; i++) {
            cr_assert_eq(fold_at(fold, &stream, i), 0);
            expect_same(fold, checkpoints[i + 1], sizes[i + 1], seed);
        }
        cr_expect_eq(pps_config_fold_mismatches(fold), 0);
        pps_config_fold_free(fold);
    }
    for (size_t i = 0; i <= RECORDS_MAX; i++) {
        free(checkpoints[i]);
    }
    stream_free(&stream);
}

Test(config_fold, every_checkpoint_restores_the_same_state)
{
    uint64_t accepted = 0;

    for (uint64_t seed = 1; seed <= RUNS; seed++) {
        run_random(seed, &accepted);
    }
    cr_expect_gt(accepted, RUNS, "too few notes were accepted");
}

#define ADD_POOL(id, base)                                                    \
    "[note]\nid = " id "\nbase = " base "\n[upstream pool]\nkind = engine\n"
#define CHANGE_POOL(id, base)                                                 \
    "[note]\nid = " id "\nbase = " base                                       \
    "\n[upstream pool]\nchecks_fencing = yes\n"

typedef struct {
    const char *name;
    const char *notes[4];
    const char *id; /* id of the note whose verdict is checked */
    int has_verdict;
    int accepted;
    uint64_t offset;
    uint64_t revision; /* expected in force after all notes */
    const char *reason;
} case_t;

static const case_t cases[] = {
    {"accepted", {ADD_POOL("a", "0")}, "a", 1, 1, 0, 1, ""},
    {"appended twice",
     {ADD_POOL("a", "0"), ADD_POOL("a", "0")},
     "a",
     1,
     1,
     0,
     1,
     ""},
    {"conflicting note on the same base",
     {ADD_POOL("a", "0"), CHANGE_POOL("b", "0")},
     "b",
     1,
     0,
     1,
     1,
     "upstream pool was changed by note a at revision 1"},
    {"note on the current revision",
     {ADD_POOL("a", "0"), CHANGE_POOL("b", "1")},
     "b",
     1,
     1,
     1,
     2,
     ""},
    {"second note with a rejected id",
     {CHANGE_POOL("b", "0"), ADD_POOL("a", "0"), CHANGE_POOL("b", "1")},
     "b",
     1,
     0,
     0,
     1,
     "line 4: new upstream pool needs the key kind"},
    {"base is not a number",
     {"[note]\nid = a\nbase = x\n"},
     "a",
     1,
     0,
     0,
     0,
     "line 3: base must be a whole number of at most 18 digits"},
    {"without id", {"[note]\nbase = 0\n"}, "", 0, 0, 0, 0, ""},
    {"non-ASCII bytes of the reason are replaced",
     {"[note]\nid = a\nbase = 0\n[\xff\xfe]\n"},
     "a",
     1,
     0,
     0,
     0,
     "line 4: unknown section [\?\?]"},
};

Test(config_fold, verdicts)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const case_t *test = &cases[i];
        stream_t stream = {.count = 0};
        pps_note_verdict_t verdict;
        pps_config_fold_t *fold;
        int error;

        for (size_t n = 0; n < 4 && test->notes[n] != NULL; n++) {
            stream_note(&stream, test->notes[n]);
        }
        fold = fold_all(&stream);
        error = pps_config_fold_verdict(fold, &verdict, test->id);
        cr_expect_eq(error, test->has_verdict ? 0 : PPS_ENOTFOUND, "%s",
                     test->name);
        if (error == 0) {
            cr_expect_eq(verdict.accepted, test->accepted, "%s", test->name);
            cr_expect_eq(verdict.offset, test->offset, "%s", test->name);
            cr_expect_str_eq(verdict.reason, test->reason, "%s", test->name);
        }
        cr_expect_eq(pps_catalog_revision(pps_config_fold_catalog(fold)),
                     test->revision, "%s", test->name);
        pps_config_fold_free(fold);
        stream_free(&stream);
    }
}

Test(config_fold, differing_checkpoint_is_counted_and_not_restored)
{
    stream_t stream = {.count = 0};
    stream_t other = {.count = 0};
    pps_config_fold_t *fold;
    void *payload;
    size_t size;

    stream_note(&other, ADD_POOL("x", "0"));
    fold = fold_all(&other);
    cr_assert_eq(pps_config_fold_checkpoint(fold, &payload, &size), 0);
    pps_config_fold_free(fold);

    stream_note(&stream, ADD_POOL("a", "0"));
    stream_append(&stream, PPS_RECORD_CONFIG_CHECKPOINT, payload, size);
    fold = fold_all(&stream);
    cr_expect_eq(pps_config_fold_mismatches(fold), 1);
    cr_expect_str_eq(
        pps_catalog_upstream(pps_config_fold_catalog(fold), "pool")->note,
        "a");
    pps_config_fold_free(fold);
    free(payload);
    stream_free(&stream);
    stream_free(&other);
}

Test(config_fold, wrong_offset_is_refused)
{
    stream_t stream = {.count = 0};
    pps_config_fold_t *fold;

    stream_note(&stream, ADD_POOL("a", "0"));
    fold = fold_all(&stream);
    cr_expect_eq(fold_at(fold, &stream, 0), PPS_EINVALID);
    cr_expect_eq(pps_config_fold_next(fold), 1);
    pps_config_fold_free(fold);
    stream_free(&stream);
}

static int
count_verdict(const pps_note_verdict_t *verdict, void *user)
{
    size_t *count = user;

    ++*count;
    return 0;
}

Test(config_fold, oldest_verdict_is_dropped_above_the_limit)
{
    pps_config_fold_t *fold;
    pps_note_verdict_t verdict;
    size_t count = 0;

    cr_assert_eq(pps_config_fold_new(&fold), 0);
    for (unsigned int i = 0; i < 1030; i++) {
        stream_t stream = {.count = 0};
        pps_log_entry_t entry = {.offset = i};
        char text[NOTE_BYTES];

        snprintf(text, sizeof(text), "[note]\nid = n%u\nbase = 0\n", i);
        stream_note(&stream, text);
        entry.data = stream.data[0];
        entry.size = stream.sizes[0];
        cr_assert_eq(pps_config_fold_apply(fold, &entry), 0);
        stream_free(&stream);
    }
    pps_config_fold_verdict_foreach(fold, count_verdict, &count);
    cr_expect_eq(count, 1024);
    cr_expect_eq(pps_config_fold_verdict(fold, &verdict, "n5"), PPS_ENOTFOUND);
    cr_expect_eq(pps_config_fold_verdict(fold, &verdict, "n6"), 0);
    pps_config_fold_free(fold);
}

Test(config_fold, every_damaged_byte_of_a_checkpoint_is_refused)
{
    stream_t stream = {.count = 0};
    pps_config_fold_t *fold;
    unsigned char *payload;
    uint64_t next = 0;
    size_t size;

    stream_note(&stream, ADD_POOL("a", "0"));
    fold = fold_all(&stream);
    cr_assert_eq(pps_config_fold_checkpoint(fold, (void **)&payload, &size),
                 0);
    pps_config_fold_free(fold);
    cr_expect_eq(pps_config_checkpoint_next(&next, payload, size), 0);
    cr_expect_eq(next, 1);
    for (size_t at = 0; at < size; at++) {
        payload[at] ^= 0x10;
        cr_expect_eq(pps_config_fold_restore(&fold, payload, size),
                     PPS_ECORRUPT, "byte %zu", at);
        payload[at] ^= 0x10;
        cr_expect_eq(pps_config_fold_restore(&fold, payload, at),
                     PPS_ECORRUPT);
    }
    free(payload);
    stream_free(&stream);
}
