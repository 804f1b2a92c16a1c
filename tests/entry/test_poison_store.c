/** @file test_poison_store.c @brief Tests that what ends workers outlives the
 * hosts, in the store. */
#include "clock.h"
#include "net.h"
#include "papayaswitch/errors.h"
#include "poison_record.h"
#include "poison_store.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define NOW_US (500 * S)
#define WALL_US (INT64_C(1791000000) * S)
#define KEY_TEXT "9123456789abcdef"
#define KEY UINT64_C(0x9123456789abcdef)
#define OTHER_KEY UINT64_C(0x42)
#define OTHER_KEY_TEXT "0000000000000042"
#define OTHER_REQUEST UINT64_C(0x43)
#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: "
#define EMPTY HEAD "39\r\n\r\n{\"entries\":[],\"has_more\":false,\"end\":0}"
#define WRITTEN HEAD "20\r\n\r\n{\"offset\":0,\"end\":1}"
#define UNAVAILABLE "HTTP/1.1 503 Off\r\nContent-Length: 0\r\n\r\n"

static const pps_poison_evidence_t convicted = {
    .key = KEY,
    .convicted = 1,
    .crashes = {{3, NOW_US - 1 * S, NOW_US - 1 * S + 90 * MS, 7},
                {2, NOW_US - 2 * S, NOW_US - 2 * S + 90 * MS},
                {1, NOW_US - 3 * S, NOW_US - 3 * S + 90 * MS}},
    .crash_count = 3,
};

typedef struct {
    const char *what;
    int64_t wall_step_us; /* between the write and the read */
    int64_t age_us;       /* of the last crash, 60 s later */
} record_case_t;

static const record_case_t records[] = {
    {"a steady clock", 0, 61 * S - 90 * MS},
    {"a clock that was set ahead", 5 * S, 66 * S - 90 * MS},
    {"a clock that was set far back", -500 * S, 0},
};

/* It is known that an answer went on before, but not that it clears them. */
Test(poison_store, record_keeps_that_a_key_was_good_before)
{
    pps_poison_evidence_t known_good = convicted;
    pps_poison_evidence_t read;
    pps_buf_t text = PPS_BUF_INIT;

    known_good.good_us = NOW_US - 20 * S;
    cr_assert_eq(pps_poison_record_write(&text, &known_good, NOW_US, WALL_US),
                 0);
    cr_assert_eq(pps_poison_record_parse(&read, KEY_TEXT, text.data, text.size,
                                         NOW_US, WALL_US),
                 0);
    cr_expect_eq(read.good_us, known_good.good_us);
    cr_expect_eq(read.crash_count, 3);
    pps_buf_clear(&text);
}

/* Hosts share no clock but the time of day. */
Test(poison_store, record_keeps_the_age_of_crashes)
{
    for (size_t i = 0; i < sizeof(records) / sizeof(*records); i++) {
        int64_t now_us = 7000 * S;
        pps_poison_evidence_t read;
        pps_buf_t text = PPS_BUF_INIT;

        cr_assert_eq(
            pps_poison_record_write(&text, &convicted, NOW_US, WALL_US), 0);
        cr_assert_eq(pps_poison_record_parse(
                         &read, KEY_TEXT, text.data, text.size, now_us,
                         WALL_US + 60 * S + records[i].wall_step_us),
                     0);
        cr_expect_eq(read.key, KEY);
        cr_expect_eq(read.crash_count, 3);
        cr_expect_eq(now_us - read.crashes[0].at_us, records[i].age_us, "%s",
                     records[i].what);
        cr_expect(pps_poison_evidence_is_suspect(&read, now_us));
        cr_expect_eq(read.crashes[0].worker, 7);
        cr_expect_eq(read.crashes[1].worker, 0);
        pps_buf_clear(&text);
    }
}

static const char *const unreadable[] = {
    "",
    "x",
    "[]",
    "{}",
    "{\"crashes\":[]}",
    "{\"crashes\":[{}]}",
    "{\"crashes\":[{\"id\":\"1\",\"begun_ms\":1,\"at_ms\":1}]}",
    "{\"crashes\":[{\"id\":\"0000000000000001\",\"begun_ms\":1}]}",
    "{\"crashes\":[{\"id\":\"0000000000000001\",\"begun_ms\":-1,\"at_ms\":1}]"
    "}",
};

Test(poison_store, unreadable_records_are_skipped)
{
    for (size_t i = 0; i < sizeof(unreadable) / sizeof(*unreadable); i++) {
        pps_poison_evidence_t read;

        cr_expect_eq(pps_poison_record_parse(&read, KEY_TEXT, unreadable[i],
                                             strlen(unreadable[i]), NOW_US,
                                             WALL_US),
                     PPS_EINVALID, "%s", unreadable[i]);
    }
}

typedef struct {
    pps_reactor_t reactor;
    net_server_t server;
    pps_poison_table_t *table;
    pps_poison_store_t *store;
    size_t stored;
    pps_poison_evidence_t last;
} fixture_t;

static void
on_stored(void *user, const pps_poison_evidence_t *evidence)
{
    fixture_t *fixture = user;

    fixture->stored++;
    fixture->last = *evidence;
}

static void
start(fixture_t *fixture, const net_answer_t *script, size_t size)
{
    memset(fixture, 0, sizeof(*fixture));
    steady_clock_init_reactor(&fixture->reactor);
    cr_assert_eq(pps_poison_table_new(&fixture->table), 0);
    net_server_start(&fixture->server, &fixture->reactor, script, size);
    cr_assert_eq(pps_poison_store_new(&fixture->store, &fixture->reactor,
                                      fixture->server.address, fixture->table,
                                      on_stored, fixture),
                 0);
}

/* Steps the store until the server has seen a number of requests. */
static void
step_until(fixture_t *fixture, size_t requests)
{
    for (int i = 0; i < 200 && fixture->server.requests < requests; i++) {
        pps_poison_store_step(fixture->store);
        net_run_for(&fixture->reactor, 5);
    }
    net_run_for(&fixture->reactor, 20);
    cr_assert_eq(fixture->server.requests, requests);
}

static int
has_text(const pps_buf_t *buf, const char *text)
{
    return memmem(buf->data, buf->size, text, strlen(text)) != NULL;
}

static int
was_written(const fixture_t *fixture, const char *text)
{
    return has_text(&fixture->server.last, text);
}

/* Returns evidence that convicts a key. @param first_id of its crashes */
static pps_poison_evidence_t
crashes_of(uint64_t key, uint64_t first_id)
{
    pps_poison_evidence_t evidence = convicted;

    evidence.key = key;
    for (unsigned int i = 0; i < evidence.crash_count; i++) {
        evidence.crashes[i].id += first_id - 1;
    }
    return evidence;
}

static void
convict(fixture_t *fixture, uint64_t key, uint64_t first_id)
{
    pps_poison_evidence_t evidence = crashes_of(key, first_id);

    cr_assert_eq(pps_poison_table_merge(fixture->table, &evidence, NULL), 1);
}

Test(poison_store, convicted_key_is_written_once_and_deleted_when_cleared)
{
    static const net_answer_t script[] = {
        {EMPTY, NET_KEEP}, {UNAVAILABLE, NET_KEEP}, {WRITTEN, NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 3);
    step_until(&fixture, 1);
    convict(&fixture, KEY, 1);
    step_until(&fixture, 3);
    cr_expect(was_written(&fixture, KEY_TEXT "{\"crashes\":["));
    pps_poison_store_step(fixture.store);
    net_run_for(&fixture.reactor, 50);
    cr_expect_eq(fixture.server.requests, 3);
    cr_expect_eq(pps_poison_table_note_good(fixture.table, KEY, NOW_US), 1);
    step_until(&fixture, 4);
    cr_expect(was_written(&fixture, KEY_TEXT));
    cr_expect_not(was_written(&fixture, "crashes"));
}

Test(poison_store, keys_are_written_again_when_the_store_has_lost_them)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 2);
    convict(&fixture, KEY, 1);
    convict(&fixture, OTHER_KEY, 9);
    step_until(&fixture, 3);
    pps_poison_store_forget(fixture.store);
    step_until(&fixture, 5);
}

typedef struct {
    const char *what;
    uint64_t other;
    uint64_t first_id; /* of the other key's crashes; 1: the same ones */
    int64_t good_us;   /* of the other key */
    const char *written;
    const char *not_written;
} explained_case_t;

static const explained_case_t explained[] = {
    {"a request, by a part", OTHER_KEY, 1, 0, OTHER_KEY_TEXT, KEY_TEXT},
    {"not by a part that is good", OTHER_KEY, 1, NOW_US - 20 * S, KEY_TEXT,
     NULL},
    {"not by a part with other crashes", OTHER_KEY, 9, 0, KEY_TEXT, NULL},
    {"not by a request with other crashes", OTHER_REQUEST, 9, 0, KEY_TEXT,
     NULL},
    {"two requests, by each other", OTHER_REQUEST, 1, 0, NULL, KEY_TEXT},
};

typedef struct {
    const char *what;
    uint64_t key;            /* convicted by three crashes */
    uint64_t causes[2];      /* of the first two crashes, and of the third */
    int64_t good_us;         /* of the second cause */
    unsigned int last_crash; /* of the second cause; 3: the third one */
    int is_ambiguous;
} ambiguous_case_t;

#define PART_KEY OTHER_KEY
#define BAD_PART UINT64_C(0x52)
#define BAD_REQUEST UINT64_C(0x43)

static const ambiguous_case_t ambiguous[] = {
    {"a request, by a request and a part",
     KEY,
     {BAD_REQUEST, BAD_PART},
     0,
     3,
     1},
    {"a request, by two parts", KEY, {OTHER_KEY, BAD_PART}, 0, 3, 1},
    {"a part, by two requests",
     PART_KEY,
     {BAD_REQUEST, BAD_REQUEST + 2},
     0,
     3,
     1},
    {"a part, by one request", PART_KEY, {BAD_REQUEST, BAD_REQUEST}, 0, 3, 1},
    {"not by one that is good",
     KEY,
     {BAD_REQUEST, BAD_PART},
     NOW_US - 20 * S,
     3,
     0},
    {"not if one crash is left", KEY, {BAD_REQUEST, BAD_PART}, 0, 8, 0},
};

/* Adds crashes of another key. @param first_id of them, one after the other */
static void
add_crashes(fixture_t *fixture, uint64_t key, uint64_t first_id,
            unsigned int count, int64_t good_us)
{
    pps_poison_evidence_t evidence = {
        .key = key, .good_us = good_us, .crash_count = count};

    for (unsigned int i = 0; i < count; i++) {
        uint64_t id = first_id + count - 1 - i;

        evidence.crashes[i] = convicted.crashes[2 - (id - 1) % 3];
        evidence.crashes[i].id = id;
    }
    cr_assert_eq(pps_poison_table_merge(fixture->table, &evidence, NULL), 1);
}

/* Guards against refusing a sound request for half an hour after an end of all
 * hosts: bad ones had ended the workers that it was at, and only the sound one
 * was remembered. */
Test(poison_store, record_does_not_say_that_others_may_be_the_causes)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};

    for (size_t i = 0; i < sizeof(ambiguous) / sizeof(*ambiguous); i++) {
        const ambiguous_case_t *item = &ambiguous[i];
        fixture_t fixture;

        start(&fixture, script, 2);
        step_until(&fixture, 1);
        convict(&fixture, item->key, 1);
        add_crashes(&fixture, item->causes[0], 1, 2, 0);
        add_crashes(&fixture, item->causes[1], item->last_crash, 1,
                    item->good_us);
        step_until(&fixture, 2);
        cr_expect(was_written(&fixture, "crashes"), "%s", item->what);
        cr_expect_eq(was_written(&fixture, "ambiguous"), item->is_ambiguous,
                     "%s", item->what);
    }
}

/* Guards against a sound request that no host may try after an end of all
 * hosts. One more crash shows that the record was right. */
Test(poison_store, ambiguous_record_leaves_no_trial)
{
    const uint64_t keys[] = {KEY};
    pps_poison_evidence_t another = {
        .key = KEY,
        .crashes = {{4, NOW_US - 80 * MS, NOW_US - 10 * MS}},
        .crash_count = 1,
    };
    pps_poison_evidence_t read = convicted;
    pps_poison_table_t *table;
    pps_buf_t text = PPS_BUF_INIT;

    read.ambiguous_us = read.crashes[0].at_us;
    cr_assert_eq(pps_poison_record_write(&text, &read, NOW_US, WALL_US), 0);
    cr_assert_eq(pps_poison_record_parse(&read, KEY_TEXT, text.data, text.size,
                                         NOW_US, WALL_US),
                 0);
    cr_assert_eq(pps_poison_table_new(&table), 0);
    cr_assert_eq(pps_poison_table_merge(table, &convicted, NULL), 1);
    pps_poison_table_merge(table, &read, NULL);
    cr_expect(pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    pps_poison_table_merge(table, &another, NULL);
    pps_poison_table_merge(table, &read, NULL);
    cr_expect_not(
        pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    another.key = BAD_REQUEST;
    pps_poison_table_merge(table, &another, NULL);
    cr_expect(pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful,
              "another key may have caused the last one");
    another.key = KEY;
    another.crashes[0].id = 5;
    another.crashes[0].at_us = NOW_US;
    another.crashes[0].begun_us = NOW_US - 1 * MS;
    pps_poison_table_merge(table, &another, NULL);
    cr_expect_not(
        pps_poison_table_find_block(table, keys, 1, NOW_US).is_doubtful);
    cr_expect_eq(pps_poison_table_find_block(table, keys, 1, NOW_US).key, KEY);
    pps_poison_table_free(table);
    pps_buf_clear(&text);
}

/* Guards against refusing a sound request after an end of all hosts: what
 * explains the ends of workers under it is forgotten then. */
Test(poison_store, key_that_another_one_explains_is_not_written)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};

    for (size_t i = 0; i < sizeof(explained) / sizeof(*explained); i++) {
        const explained_case_t *item = &explained[i];
        pps_poison_evidence_t other = crashes_of(item->other, item->first_id);
        pps_buf_t written = PPS_BUF_INIT;
        fixture_t fixture;

        start(&fixture, script, 2);
        step_until(&fixture, 1);
        other.good_us = item->good_us;
        convict(&fixture, KEY, 1);
        cr_assert_eq(pps_poison_table_merge(fixture.table, &other, NULL), 1);
        for (int step = 0; step < 20; step++) {
            pps_poison_store_step(fixture.store);
            net_run_for(&fixture.reactor, 5);
            pps_buf_append(&written, fixture.server.last.data,
                           fixture.server.last.size);
        }
        cr_expect(item->written == NULL || has_text(&written, item->written),
                  "%s", item->what);
        cr_expect(item->not_written == NULL ||
                      !has_text(&written, item->not_written),
                  "%s", item->what);
        pps_buf_clear(&written);
    }
}

Test(poison_store, host_that_starts_reads_what_the_store_has)
{
    static const net_answer_t script[] = {
        {UNAVAILABLE, NET_KEEP},
        {HEAD "216\r\n\r\n{\"entries\":[{\"key\":\"" KEY_TEXT "\",\"value\":\""
              "eyJjcmFzaGVzIjpbeyJpZCI6IjAwMDAwMDAwMDAwMDAwMDEiLCJiZWd1bl9tcy"
              "I6MSwiYXRfbXMiOjF9XX0=\",\"offset\":0}],\"has_more\":false,"
              "\"end\":1}                                                   "
              "                                    ",
         NET_KEEP}};
    fixture_t fixture;

    start(&fixture, script, 2);
    for (int i = 0; i < 400 && fixture.stored == 0; i++) {
        net_run_for(&fixture.reactor, 5);
    }
    cr_assert_eq(fixture.stored, 1);
    cr_expect_eq(fixture.last.key, KEY);
    cr_expect_eq(fixture.last.convicted, 1);
    cr_expect_eq(fixture.last.crashes[0].id, 1);
    net_run_for(&fixture.reactor, 100);
    cr_expect_eq(fixture.server.requests, 2);
}

Test(poison_store, key_is_written_again_when_there_are_more_crashes)
{
    static const net_answer_t script[] = {{EMPTY, NET_KEEP},
                                          {WRITTEN, NET_KEEP}};
    const pps_poison_evidence_t another = {
        .key = KEY,
        .crashes = {{4, NOW_US - 80 * MS, NOW_US - 10 * MS}},
        .crash_count = 1,
    };
    fixture_t fixture;

    start(&fixture, script, 2);
    convict(&fixture, KEY, 1);
    step_until(&fixture, 2);
    cr_assert_eq(pps_poison_table_merge(fixture.table, &another, NULL), 1);
    step_until(&fixture, 3);
    cr_expect(was_written(&fixture, "0000000000000004"));
}
